// Package messenger defines the inner protocol: all messages that the router's
// nodes exchange. It also has the transport that carries them in batches, with
// net/rpc and gob over TCP or mutual TLS, at most once and in order for each peer.
//
// The fields of messages are exported because gob encodes exported fields only.
package messenger
