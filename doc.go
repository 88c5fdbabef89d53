// Package limpetcleat is a router for language-model traffic with service
// levels and priorities. It wires the deterministic core of a node to sockets,
// clocks and the platform.
package limpetcleat
