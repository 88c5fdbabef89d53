// Package editor carries out an operator's edit of the configuration: it reads
// the stored version, changes it, checks the result whole and writes it on the
// condition that nobody else wrote meanwhile.
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
	defaultTries  = 8
	defaultWait   = 250 * time.Millisecond
	maxWait       = 4 * time.Second
	maxTextLength = 1000
)

// Store is what the editor needs of the platform's object API.
type Store interface {
	Read(ctx context.Context, kind, name string) (storer.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (storer.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) (storer.Object, error)
}

// Editor edits the configuration in the name of one operator.
type Editor struct {
	store  Store
	editor string
	now    func() time.Time
	newID  func() string
	pause  func(ctx context.Context, wait time.Duration) error
	// tries bounds how often each call to the platform is made.
	tries int
	// floor is the least number that the next version gets.
	floor uint64
}

// Option changes one setting of an Editor.
type Option func(*Editor)

// WithClock sets where the time of an edit comes from.
func WithClock(now func() time.Time) Option {
	return func(editor *Editor) { editor.now = now }
}

// WithPause sets how the editor waits between two tries.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(editor *Editor) { editor.pause = pause }
}

// WithFloor sets the least number that the next version gets. It is for a
// platform that was set back: nodes take only what is newer than they have.
func WithFloor(version uint64) Option {
	return func(editor *Editor) { editor.floor = version }
}

// New returns an editor that writes to the store in the operator's name.
func New(store Store, name string, options ...Option) *Editor {
	editor := &Editor{
		store:  store,
		editor: name,
		now:    time.Now,
		newID:  uuid.NewString,
		pause:  timer.Sleep,
		tries:  defaultTries,
	}
	for _, option := range options {
		option(editor)
	}
	return editor
}

// Version is one stored version of the configuration.
type Version struct {
	// object is the version of the platform's object; 0 when there is none yet.
	object   uint64
	head     *sectioner.Head
	document definer.Document
}

// Number returns the version's number; 0 when nothing is stored yet.
func (version *Version) Number() uint64 { return version.head.Version }

// Head returns the stored form, with the history of edits.
func (version *Version) Head() *sectioner.Head { return version.head }

// Document returns the configuration.
func (version *Version) Document() definer.Document { return version.document }

// Change is what an operator wants done.
type Change struct {
	// Base is the version that the operator has seen; an edit of any other is a
	// Conflict. 0 stands for the newest at the time of the edit.
	Base uint64
	// Summary says why, for the history.
	Summary string
	// Apply returns the changed document.
	Apply func(document definer.Document) (definer.Document, error)
}

// Replace returns a change to a whole new document.
func Replace(base uint64, summary string, document definer.Document) Change {
	return Change{Base: base, Summary: summary, Apply: func(definer.Document) (definer.Document, error) { return document, nil }}
}

// Edit makes a change and returns the accepted version. The error is of kind
// Invalid, Conflict or Unavailable when nothing was written, and of kind
// Unsettled when that cannot be told.
func (editor *Editor) Edit(ctx context.Context, change Change) (*Version, error) {
	base, err := editor.Load(ctx)
	if err != nil && !isKind(err, Empty) {
		return nil, err
	}
	if change.Base != 0 && change.Base != base.Number() {
		return nil, fail("edit", Conflict, "%w", &Rival{edit: base.head.Edit})
	}
	draft, err := editor.draft(base, change)
	if err != nil {
		return nil, err
	}
	if len(draft.head.Undo) == 0 {
		return base, nil
	}
	if err := editor.writeSections(ctx, base, draft); err != nil {
		return nil, err
	}
	garbage := editor.inspect(ctx, draft.head)
	if err := editor.writeHead(ctx, base, draft); err != nil {
		return nil, err
	}
	editor.collect(ctx, garbage)
	return &Version{object: draft.object, head: draft.head, document: draft.document}, nil
}
