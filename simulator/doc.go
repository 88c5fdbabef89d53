// Package simulator is a discrete-time simulation of load on model engines, without a network. It
// models callers, nodes that choose engines with package selector based on delayed load reports
// from their peers, and engines with a queue, slots and a prefix cache; a seed makes each run
// reproducible.
package simulator
