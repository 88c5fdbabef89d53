// Package throttler keeps the requests of all nodes to an upstream within the limit that it
// has announced. For each such upstream one node hands out permits, each for one request; the
// others ask it before they send. Which node does follows from the list of nodes, and is
// agreed with nobody: where lists differ, or nodes cannot reach each other, two may do so for
// a while, the later one in the order at half the rate or less.
package throttler
