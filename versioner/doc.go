// Package versioner keeps which software version of an upstream began each stream, since what two
// versions write does not fit together: a stream may go on only at the version that began it, also
// at another node after the one that began it has failed.
//
// While a service has one version, nothing is sent for a stream. While it has several, the node that
// begins a stream reports its origin to a few other nodes, the holders, which follow from the list of
// nodes and the stream. A node where the stream is taken up asks all nodes that may be its holders.
package versioner
