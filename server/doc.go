// Package server takes callers' requests: it authenticates their organisation,
// checks what they sent, and carries each request from its arrival to its one
// final answer.
package server
