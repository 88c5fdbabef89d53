// Package tester runs systems of separate processes on loopback for the end-to-end tests, which
// check the results against what the stand-ins for the platform and the upstreams recorded. The
// fields that the tests change or check are exported.
package tester
