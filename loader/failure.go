package loader

import (
	"fmt"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreadable marks a file that could not be read.
	Unreadable Kind = "unreadable"
	// Invalid marks settings with at least one Fault.
	Invalid Kind = "invalid"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("loader."+operation, kind, format, values...)
}

// Fault is one thing that is wrong with a settings file. An Error of kind
// Invalid wraps one or more of them.
type Fault struct {
	// file is the name that was given to Load or Parse.
	file string
	// line counts from 1; it is 0 for a setting that is missing.
	line int
	// name is "section.setting", or as much of it as is known.
	name string
	// found is what stands in the file, never a secret.
	found string
	// allowed tells what may stand there.
	allowed string
}

// File returns the name of the file.
func (fault *Fault) File() string { return fault.file }

// Line returns the line of the fault, counted from 1, or 0 if nothing stands
// in the file.
func (fault *Fault) Line() int { return fault.line }

// Name returns the section and the name of the setting, joined by a dot.
func (fault *Fault) Name() string { return fault.name }

// Found returns what was found.
func (fault *Fault) Found() string { return fault.found }

// Allowed returns what is allowed.
func (fault *Fault) Allowed() string { return fault.allowed }

// Error returns the fault as one line.
func (fault *Fault) Error() string {
	place := fault.file
	if fault.line > 0 {
		place = fmt.Sprintf("%s:%d", fault.file, fault.line)
	}
	return fmt.Sprintf("%s: %s: found %s; allowed is %s", place, fault.name, fault.found, fault.allowed)
}
