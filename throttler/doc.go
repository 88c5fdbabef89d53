// Package throttler limits the rate of requests that all nodes together send to an upstream to
// the limit that the upstream has announced, or to what it accepts while it warms up after a
// start. Where upstreams tolerate few rejections, it also limits the requests in flight to those
// that the upstream has room for. For each upstream with a limit, one node issues permits, each for
// one request, and the other nodes ask it for a permit before they send.
//
// The issuing node follows from the list of nodes, without an agreement between the nodes. Where
// lists differ, or nodes cannot reach each other, two nodes may issue permits for a while, the
// later one in the order at a third of the rate or less.
package throttler
