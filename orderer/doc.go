// Package orderer keeps the platform's lease of one data centre and, while it
// holds it, orders engines to become what the configuration wants: which models
// they hold and which role they have. The package is deterministic: answers of
// the platform and of engines and the time go in, calls, orders and notices
// come out.
//
// Two invariants carry everything. A holder counts its lease from before it
// sent the write that gave it, and others count it from after they first saw
// that write, so that by their own clocks no two send orders at the same time.
// The fencing number of an order is the version of the lease object that the
// holder itself wrote, so that a later holder's orders always have larger ones.
package orderer
