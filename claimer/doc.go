// Package claimer stores claims on idempotency keys, so that a request that must
// not be repeated runs at most once for each key. Claims are grouped in buckets,
// which are stored as objects of the platform and changed by conditional writes
// (compare and swap) only; one write carries the steps of many requests. The
// package is deterministic and does no input or output: its inputs are steps,
// answers of the platform and the time, its outputs calls, timers and verdicts.
//
// Its safety rests on one invariant: a request may run only after its own record
// has been stored in its bucket, and before its retention ends a record is removed
// only by the request that stored it and that provably did not run.
package claimer
