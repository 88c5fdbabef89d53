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
	// Empty says that no configuration is stored yet.
	Empty Kind = "empty"
	// Invalid says that the changed configuration fails its checks.
	Invalid Kind = "invalid"
	// Conflict says that somebody else changed the configuration; RivalOf tells
	// who and when. Nothing was written.
	Conflict Kind = "conflict"
	// Unavailable says that the platform could not be used. Nothing was written.
	Unavailable Kind = "unavailable"
	// Unsettled says that the edit may or may not have been accepted.
	Unsettled Kind = "unsettled"
	// Unusable says that the stored configuration is not whole.
	Unusable Kind = "unusable"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("editor."+operation, kind, format, values...)
}

// Rival is the edit that an edit conflicts with.
type Rival struct {
	edit sectioner.Edit
}

// Error tells who made the other edit, when and why.
func (rival *Rival) Error() string {
	return fmt.Sprintf("version %d was written by %q at %s: %q; read it and make the change anew",
		rival.edit.Version, rival.edit.Editor, rival.edit.EditedAt.Format(time.RFC3339), rival.edit.Summary)
}

// Edit returns the other edit.
func (rival *Rival) Edit() sectioner.Edit { return rival.edit }

// RivalOf returns the edit that the failed one conflicts with, if that is why
// it failed.
func RivalOf(err error) (*Rival, bool) {
	var rival *Rival
	ok := errors.As(err, &rival)
	return rival, ok
}
