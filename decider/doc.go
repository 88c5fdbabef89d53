// Package decider is the deterministic core of a node: it joins every role that
// a node can take behind one facade. Events and the time go in, actions come
// out. It has no goroutine, clock, socket or unseeded random number, so that
// the same code runs behind sockets, under a stepped clock and under faults
// injected between any two steps.
package decider
