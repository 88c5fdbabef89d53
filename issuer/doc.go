// Package issuer is a token bucket with a queue: it issues permits to send requests to one
// upstream that accepts a limited number of requests a second. Asks for which there is no permit
// wait in a queue, the highest tier first, or are denied when their turn would come too late. It
// reads no clock: the callers pass all times.
package issuer
