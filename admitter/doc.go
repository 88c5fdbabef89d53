// Package admitter decides at an entry VM, before any message is sent, whether
// a request has no hope to start in time. It is free of input, output, clocks
// and goroutines.
package admitter
