//go:build !race

package corroborator_test

// largestUpstreams is the number of upstreams of the largest fleet.
const largestUpstreams = 150
