// Package detector maintains the cluster membership and detects failed nodes with
// the SWIM protocol and the refinements of Lifeguard. The platform's list only
// proposes members; heartbeats decide which of them are alive.
//
// The members form a hash ring, on which a few others watch each member. A silent
// member is probed directly and through other members, then suspected, and
// declared failed unless it refutes the suspicion in time. Membership updates are
// piggybacked on heartbeats.
//
// The package does no input or output, reads no clock and starts no goroutine:
// callers pass in messages and times, and get back messages to send and changes.
package detector
