// Package definer defines the identifiers and the configuration objects that
// every other package shares: classes, pools, upstreams, organisations and
// rules, with the checks that a configuration must pass before it is used.
package definer
