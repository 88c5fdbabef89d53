// Package messenger holds the inner protocol: every message that processes of
// the system send each other, and the net/rpc transport that carries them.
//
// The fields of messages are exported because the gob codec needs it.
package messenger
