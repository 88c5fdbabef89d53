package editor

import (
	"errors"
	"fmt"
	"time"

	"limpetcleat/failer"
	"limpetcleat/sectioner"
)

// Kind classifies an Error.
type Kind string

const (
	// Empty means that no configuration, or not the requested version, is stored.
	Empty Kind = "empty"
	// Invalid means that the edited configuration failed validation.
	Invalid Kind = "invalid"
	// Conflict means that another edit changed the configuration first; RivalOf
	// returns that edit. The failed edit was not accepted.
	Conflict Kind = "conflict"
	// Unavailable means that a call to the platform failed. The edit was not accepted.
	Unavailable Kind = "unavailable"
	// Unsettled means that it is unknown whether the edit was accepted.
	Unsettled Kind = "unsettled"
	// Unusable means that the stored configuration is incomplete or malformed.
	Unusable Kind = "unusable"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("editor."+operation, kind, format, values...)
}

// Rival is the error that describes the other edit in a conflict.
type Rival struct {
	edit sectioner.Edit
}

// Error returns a message with the author, time and summary of the other edit.
func (rival *Rival) Error() string {
	return fmt.Sprintf("version %d was written by %q at %s: %q; read it and make the change anew",
		rival.edit.Version, rival.edit.Editor, rival.edit.EditedAt.Format(time.RFC3339), rival.edit.Summary)
}

// Edit returns the other edit.
func (rival *Rival) Edit() sectioner.Edit { return rival.edit }

// RivalOf returns the other edit if err reports a conflict with one, and whether it
// does.
func RivalOf(err error) (*Rival, bool) {
	var rival *Rival
	ok := errors.As(err, &rival)
	return rival, ok
}
