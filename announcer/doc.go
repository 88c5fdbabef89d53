// Package announcer keeps the rate limits and the planned ends (leaving) that upstreams have
// announced in their answers, and shares them with peers, so that a node can respect an
// announcement before it has got one itself.
package announcer
