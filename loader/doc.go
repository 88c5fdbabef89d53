// Package loader reads a node's settings from an INI file and validates them. It reports all faults
// of a file at once, each with the file, the line and the name of the setting.
package loader
