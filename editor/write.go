package editor

import (
	"context"

	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// retry makes a call until it succeeds, its failure is final or the tries are
// used up. A call that was Lost may have taken effect.
func (editor *Editor) retry(ctx context.Context, call func() (storer.Object, error)) (storer.Object, error) {
	wait := defaultWait
	for try := 1; ; try++ {
		object, err := call()
		kind := storer.KindOf(err)
		if err == nil || (kind != storer.Lost && kind != storer.Rejected) || try >= editor.tries {
			return object, err
		}
		if editor.pause(ctx, max(wait, storer.RetryAfter(err))) != nil {
			return object, err
		}
		wait = min(2*wait, maxWait)
	}
}

// writeSections writes the sections that the base does not have.
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

// writeSection writes a section, or writes it once more if it is there already:
// its version then differs from the one that a collector of garbage saw, whose
// conditional delete fails.
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

// writeHead writes the head on the condition that it still is the base. It is
// this one write that accepts the edit. A lost answer is settled by repeating
// the same write: at most one of them can take effect, and the edit's id tells
// whether one did.
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
		return editor.settle(object, draft, lost)
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

// settle tells by the head that stands there whether the edit was accepted.
func (editor *Editor) settle(object storer.Object, draft *draft, lost bool) error {
	head, err := sectioner.ParseHead(object.Value)
	if err != nil {
		return fail("settle", Unusable, "%w", err)
	}
	accepted, known := head.Has(draft.head.EditID, draft.head.Version)
	switch {
	case accepted:
		draft.object = object.Version
		return nil
	case lost && !known:
		return fail("settle", Unsettled, "edit %s as version %d: the history begins later", draft.head.EditID, draft.head.Version)
	default:
		return fail("edit", Conflict, "%w", &Rival{edit: head.Edit})
	}
}
