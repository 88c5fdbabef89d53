// Package relayer lets a node that has lost its network path to an upstream reach it through a peer
// that has one. The node asks the peer, with an HTTP CONNECT request on a stream of the nodes' own
// protocol, for a connection to the upstream; the peer copies the bytes in both directions and
// takes no part in the exchange. What the node decides, counts and limits for its requests is
// therefore the same on both paths.
//
// The bytes from the upstream come in frames, so that the node can tell the end of the upstream's
// connection from the loss of the peer.
package relayer
