// Package decider implements the deterministic core of a node as a state
// machine: each call takes one event and the current time, and returns the
// actions to carry out. It has no goroutine, clock, socket or unseeded random
// number, so that the same code runs in the shell, which owns the sockets,
// under a simulated clock, and in tests that inject faults between any two
// steps.
package decider
