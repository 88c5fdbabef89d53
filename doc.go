// Package limpetcleat assembles the nodes of a router for language-model traffic with service
// levels and priorities. A Node serialises the events of callers, peers, upstreams, the platform
// and timers through a deterministic core and executes the resulting actions; an Entry is a node
// that routes each request by its own view of the platform's store.
package limpetcleat
