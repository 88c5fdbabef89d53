package editor

import (
	"context"

	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// retry repeats a call with exponential backoff until it succeeds, fails with an
// error that cannot be retried or has been attempted maxTries times. A call that
// failed with storer.Lost may have taken effect.
func (editor *Editor) retry(ctx context.Context, call func() (storer.Object, error)) (storer.Object, error) {
	wait := initialBackoff
	for try := 1; ; try++ {
		object, err := call()
		kind := storer.KindOf(err)
		if err == nil || (kind != storer.Lost && kind != storer.Rejected) || try >= editor.maxTries {
			return object, err
		}
		if editor.pause(ctx, max(wait, storer.RetryAfter(err))) != nil {
			return object, err
		}
		wait = min(2*wait, maxBackoff)
	}
}

// writeSections writes the sections of the draft that the base does not have.
func (editor *Editor) writeSections(ctx context.Context, base *Version, draft *draft) error {
	stored := make(map[string]bool)
	for _, entry := range base.head.Sections {
		stored[entry.Hash] = true
	}
	for _, section := range draft.sections {
		if stored[section.Hash] {
			continue
		}
		stored[section.Hash] = true
		if err := editor.writeSection(ctx, section); err != nil {
			return fail("edit", Unavailable, "%w", err)
		}
	}
	return nil
}

// writeSection creates a section, or rewrites it if it already exists. Rewriting
// changes its version, so that a concurrent edit which has read the section as
// garbage fails to delete it.
func (editor *Editor) writeSection(ctx context.Context, section messenger.Section) error {
	var version uint64
	_, err := editor.retry(ctx, func() (storer.Object, error) {
		object, err := editor.putSection(ctx, version, section)
		switch storer.KindOf(err) {
		case storer.Conflict:
			version = object.Version
			object, err = editor.putSection(ctx, version, section)
		case storer.Missing:
			version = 0
			object, err = editor.putSection(ctx, version, section)
		}
		return object, err
	})
	return err
}

func (editor *Editor) putSection(ctx context.Context, version uint64, section messenger.Section) (storer.Object, error) {
	if version == 0 {
		return editor.store.Create(ctx, sectioner.SectionKind, section.Hash, section.Data)
	}
	return editor.store.Update(ctx, sectioner.SectionKind, section.Hash, version, section.Data)
}

// writeHead writes the head on the condition that the stored head is still the
// base. This single write commits the edit. If its answer is lost, the same write is
// repeated: at most one of the attempts can take effect, and the edit ID in the
// stored head shows whether one did.
func (editor *Editor) writeHead(ctx context.Context, base *Version, draft *draft) error {
	lost := false
	object, err := editor.retry(ctx, func() (storer.Object, error) {
		object, err := editor.putHead(ctx, base, draft)
		lost = lost || storer.KindOf(err) == storer.Lost
		return object, err
	})
	switch kind := storer.KindOf(err); {
	case err == nil:
		draft.object = object.Version
		return nil
	case kind == storer.Conflict:
		return editor.resolveConflict(object, draft, lost)
	case lost:
		return fail("edit", Unsettled, "edit %s as version %d: %w", draft.head.EditID, draft.head.Version, err)
	default:
		return fail("edit", Unavailable, "%w", err)
	}
}

func (editor *Editor) putHead(ctx context.Context, base *Version, draft *draft) (storer.Object, error) {
	if base.object == 0 {
		return editor.store.Create(ctx, sectioner.HeadKind, sectioner.HeadName, draft.value)
	}
	return editor.store.Update(ctx, sectioner.HeadKind, sectioner.HeadName, base.object, draft.value)
}

// resolveConflict determines from the stored head whether the edit was accepted in
// spite of the conflict. The parameter lost says whether the answer to an attempt
// was lost.
func (editor *Editor) resolveConflict(object storer.Object, draft *draft, lost bool) error {
	head, err := sectioner.ParseHead(object.Value)
	if err != nil {
		return fail("settle", Unusable, "%w", err)
	}
	accepted, known := head.FindEdit(draft.head.EditID, draft.head.Version)
	switch {
	case accepted:
		draft.object = object.Version
		return nil
	case lost && !known:
		return fail("settle", Unsettled, "edit %s as version %d: the stored history no longer covers this version", draft.head.EditID, draft.head.Version)
	default:
		return fail("edit", Conflict, "%w", &Rival{edit: head.Edit})
	}
}
