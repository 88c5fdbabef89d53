package editor

import (
	"context"

	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// inspect reads the versions of the sections that the head lists as garbage.
// It must come before the head is written: an edit that uses such a section
// again either is based on an older head, and fails, or on this one or a newer,
// and then writes the section once more, so that its version differs from the
// one read here.
func (editor *Editor) inspect(ctx context.Context, head *sectioner.Head) []storer.Object {
	var found []storer.Object
	for _, garbage := range head.Garbage {
		object, err := editor.store.Read(ctx, sectioner.SectionKind, garbage.Hash)
		if err == nil {
			found = append(found, object)
		}
	}
	return found
}

// collect deletes garbage that is as it was inspected. A failure is left to the
// next edit, which lists the same sections.
func (editor *Editor) collect(ctx context.Context, garbage []storer.Object) {
	for _, object := range garbage {
		_, _ = editor.store.Delete(ctx, object.Kind, object.Name, object.Version) // See above.
	}
}
