package editor

import (
	"context"

	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// readGarbage reads the sections that the head lists as garbage, to learn their
// versions. It must run before the head is written. A concurrent edit that uses a
// garbage section again is then based either on an older head, and fails, or on
// this head or a newer one. In the second case it rewrites the section, which
// changes the version read here and makes the conditional delete fail.
func (editor *Editor) readGarbage(ctx context.Context, head *sectioner.Head) []storer.Object {
	var found []storer.Object
	for _, garbage := range head.Garbage {
		object, err := editor.store.Read(ctx, sectioner.SectionKind, garbage.Hash)
		if err == nil {
			found = append(found, object)
		}
	}
	return found
}

// deleteGarbage deletes the garbage sections whose version is still the one that
// readGarbage read. Errors are ignored: the next edit lists the remaining sections
// again.
func (editor *Editor) deleteGarbage(ctx context.Context, garbage []storer.Object) {
	for _, object := range garbage {
		_, _ = editor.store.Delete(ctx, object.Kind, object.Name, object.Version) // The next edit tries again.
	}
}
