// Package claimer keeps the claims on Idempotency-Keys, so that a call that may
// not be repeated runs at most once for each key. Claims are grouped in buckets
// that live in the platform's objects and change by conditional writes only;
// many claims ride on one write. The package is deterministic: steps, answers
// of the platform and the time go in, calls, timers and verdicts come out.
//
// One invariant carries everything: a request may run only after its own
// record stood in its bucket, and a record is taken out, before its time, only
// by the request that put it there and that provably did not run.
package claimer
