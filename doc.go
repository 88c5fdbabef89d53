// Package limpetcleat is a router for language-model traffic with service
// levels and priorities. It wires the parts of a node together: events of
// callers (server), peers (messenger), upstreams (dispatcher), the platform
// (watcher) and the clock (timer) go through Node.Submit into the deterministic
// core (decider), one at a time, and the actions that come out go back to them.
package limpetcleat
