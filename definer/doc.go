// Package definer defines the identifiers and the configuration types that all
// packages share: classes, pools, upstreams, organisations and rules. It parses
// a configuration from JSON and validates it before it is used.
package definer
