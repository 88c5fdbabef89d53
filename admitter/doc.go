// Package admitter implements admission control at an entry VM: before any message is sent, it
// refuses a request that has no chance to start in time, by the queue wait that the shard's
// owner last reported. It performs no I/O, reads no clock and starts no goroutines; callers
// pass in the time.
package admitter
