// Package limiter holds what bounds load: the adaptive limit of an upstream,
// learnt from what attempts observed, and the rate of an organisation. It is
// free of input, output, clocks and goroutines.
package limiter
