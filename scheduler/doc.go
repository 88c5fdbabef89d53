// Package scheduler assigns the concurrency slots of a shard's upstreams to queued
// requests by priority tiers, weighted fair shares and reserved minimum shares. It
// is a deterministic state machine without input, output, clocks or goroutines: the
// caller passes in events and the current time, and gets decisions back.
package scheduler
