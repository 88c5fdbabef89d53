//go:build race

package corroborator_test

// largestUpstreams is the number of upstreams of the largest fleet; the race detector is slow.
const largestUpstreams = 12
