// Package quarantiner tells which requests make the upstreams that run them end, so that
// such a request is not sent to one upstream after the other.
package quarantiner
