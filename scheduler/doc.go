// Package scheduler decides which waiting request gets which slot of a shard's
// upstreams. It is free of input, output, clocks and goroutines: asks, releases
// and times go in, decisions come out.
package scheduler
