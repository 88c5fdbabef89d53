// Package issuer is a token bucket and a semaphore with a common queue: it issues permits to send
// requests to one upstream that accepts a limited number of requests a second, or at a time. Asks
// for which there is no permit wait in the queue, the highest tier first, or are denied when their
// turn would come too late. It reads no clock: the callers pass all times.
package issuer
