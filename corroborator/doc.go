// Package corroborator decides which upstreams are presumed lost, from what this node and its
// peers observe. Evidence of two nodes, each within the last second, makes a node presume that an
// incarnation of an upstream is lost; a sign of life ends the presumption. The nodes take turns
// to probe the incarnation with one request.
package corroborator
