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

// Fault is one error in a settings file or a token file. An Error of kind Invalid wraps one or more
// faults.
type Fault struct {
	// file is the name of the settings file, as passed to Load or Parse, or of the token file.
	file string
	// line counts from 1; 0 means that the fault is not on a particular line, such as a missing
	// setting.
	line int
	// name is "section.setting", or the part of it that is known.
	name string
	// found describes what the file contains. It never includes a secret.
	found string
	// allowed describes what the file may contain instead.
	allowed string
}

// File returns the name of the file that has the fault.
func (fault *Fault) File() string { return fault.file }

// Line returns the line of the fault, counted from 1, or 0 if the fault is not on a particular
// line, such as a missing setting.
func (fault *Fault) Line() int { return fault.line }

// Name returns the section and the name of the setting, joined by a dot, or the part of them that
// is known.
func (fault *Fault) Name() string { return fault.name }

// Found describes what the file contains. It never includes a secret.
func (fault *Fault) Found() string { return fault.found }

// Allowed describes what the file may contain instead.
func (fault *Fault) Allowed() string { return fault.allowed }

// Error describes the fault on one line.
func (fault *Fault) Error() string {
	location := fault.file
	if fault.line > 0 {
		location = fmt.Sprintf("%s:%d", fault.file, fault.line)
	}
	return fmt.Sprintf("%s: %s: found %s; allowed is %s", location, fault.name, fault.found, fault.allowed)
}
