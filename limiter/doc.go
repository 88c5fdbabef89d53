// Package limiter adapts the concurrency limit of each upstream to the latencies
// and failures of its requests, and limits the request rate of each organisation.
// It does no input or output, starts no goroutines and reads no clock: callers
// pass the time.
package limiter
