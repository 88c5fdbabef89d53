// Package loader reads a node's settings from an INI file and checks every one
// of them. It reports all faults at once, each with its file, line and name.
package loader
