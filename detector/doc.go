// Package detector decides which members of the system live. The platform's
// list proposes members; heartbeats decide. Each member is watched by a few
// others on a ring, as in SWIM with the refinements of Lifeguard: a silent
// member is asked directly and through others, then suspected, and fails unless
// it refutes in time. Changes spread piggybacked on heartbeats.
//
// The package is free of input, output, clocks and goroutines: messages and
// times go in, messages and changes come out.
package detector
