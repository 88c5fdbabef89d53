// Package editor applies operators' edits to the stored configuration with
// optimistic concurrency control. It reads the stored version, applies the change,
// validates the complete result and writes it with a conditional update, which
// fails if another edit was written in the meantime.
package editor

import (
	"context"
	"time"

	"github.com/google/uuid"

	"limpetcleat/definer"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
	"limpetcleat/timer"
)

const (
	defaultMaxTries = 8
	initialBackoff  = 250 * time.Millisecond
	maxBackoff      = 4 * time.Second
	maxTextLength   = 1000
)

// Store is the part of the platform's object API that the editor uses.
type Store interface {
	Read(ctx context.Context, kind, name string) (storer.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (storer.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) (storer.Object, error)
}

// Editor edits the configuration on behalf of one operator.
type Editor struct {
	store    Store
	operator string
	now      func() time.Time
	newID    func() string
	pause    func(ctx context.Context, wait time.Duration) error
	// maxTries is the maximum number of attempts for each call to the platform.
	maxTries int
	// floor is the minimum number of the next version.
	floor uint64
}

// Option changes one setting of an Editor.
type Option func(*Editor)

// WithClock sets the function that supplies the time of an edit.
func WithClock(now func() time.Time) Option {
	return func(editor *Editor) { editor.now = now }
}

// WithPause sets the function that waits between two attempts of a call.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(editor *Editor) { editor.pause = pause }
}

// WithFloor sets the minimum number of the next version. It is needed after the
// platform was restored to an older state: nodes accept only versions newer than
// their own.
func WithFloor(version uint64) Option {
	return func(editor *Editor) { editor.floor = version }
}

// New returns an editor that writes to the store on behalf of the named operator.
func New(store Store, name string, options ...Option) *Editor {
	editor := &Editor{
		store:    store,
		operator: name,
		now:      time.Now,
		newID:    uuid.NewString,
		pause:    timer.Sleep,
		maxTries: defaultMaxTries,
	}
	for _, option := range options {
		option(editor)
	}
	return editor
}

// Version is one stored version of the configuration.
type Version struct {
	// object is the version of the platform's object that holds the head; 0 if
	// there is none yet.
	object   uint64
	head     *sectioner.Head
	document definer.Document
}

// Number returns the version number; 0 if nothing is stored yet.
func (version *Version) Number() uint64 { return version.head.Version }

// Head returns the stored head: the list of sections and the history of edits.
func (version *Version) Head() *sectioner.Head { return version.head }

// Document returns the configuration.
func (version *Version) Document() definer.Document { return version.document }

// Change describes an edit that an operator requests.
type Change struct {
	// Base is the version that the operator has read. The edit fails with Conflict
	// if the stored version differs. 0 stands for the newest version at the time of
	// the edit.
	Base uint64
	// Summary is the reason for the change, recorded in the history.
	Summary string
	// Apply returns the changed document.
	Apply func(document definer.Document) (definer.Document, error)
}

// Replace returns a change that replaces the whole document.
func Replace(base uint64, summary string, document definer.Document) Change {
	return Change{Base: base, Summary: summary, Apply: func(definer.Document) (definer.Document, error) { return document, nil }}
}

// Edit applies a change and returns the accepted version; a change without effect
// returns the stored version. The error is of kind Invalid, Conflict or
// Unavailable if the edit was not accepted, and of kind Unsettled if it is unknown
// whether it was.
func (editor *Editor) Edit(ctx context.Context, change Change) (*Version, error) {
	base, err := editor.Load(ctx)
	if err != nil && !isKind(err, Empty) {
		return nil, err
	}
	if change.Base != 0 && change.Base != base.Number() {
		return nil, fail("edit", Conflict, "%w", &Rival{edit: base.head.Edit})
	}
	draft, err := editor.newDraft(base, change)
	if err != nil {
		return nil, err
	}
	if len(draft.head.Undo) == 0 {
		return base, nil
	}
	if err := editor.writeSections(ctx, base, draft); err != nil {
		return nil, err
	}
	garbage := editor.readGarbage(ctx, draft.head)
	if err := editor.writeHead(ctx, base, draft); err != nil {
		return nil, err
	}
	editor.deleteGarbage(ctx, garbage)
	return &Version{object: draft.object, head: draft.head, document: draft.document}, nil
}
