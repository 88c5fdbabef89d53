// Package issuer hands out permits to send requests to one upstream that takes a limited
// number of them a second. Asks that no permit is there for wait in a queue, the highest tier
// first, or are denied when their turn would come too late. It reads no clock: all times are
// handed in.
package issuer
