// Package server is the HTTP API for callers, in the form of the OpenAI API: it authenticates and
// validates requests, and executes the core's actions for each request until its final response.
// It also runs the calls that other nodes forward to this one.
package server
