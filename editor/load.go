package editor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// Load returns the newest stored version. If nothing is stored yet, it returns
// version 0 and an error of kind Empty.
func (editor *Editor) Load(ctx context.Context) (*Version, error) {
	version := &Version{head: &sectioner.Head{}}
	object, err := editor.readHead(ctx)
	if err != nil && storer.KindOf(err) == storer.Missing {
		return version, fail("load", Empty, "no configuration is stored yet")
	}
	if err != nil {
		return version, fail("load", Unavailable, "%w", err)
	}
	head, err := sectioner.ParseHead(object.Value)
	if err != nil {
		return version, fail("load", Unusable, "%w", err)
	}
	document, err := editor.readDocument(ctx, head.Sums())
	if err != nil {
		return version, err
	}
	return &Version{object: object.Version, head: head, document: document}, nil
}

// LoadAt returns the document of the newest version or of an earlier one. The error
// is of kind Empty if the history does not hold that version.
func (editor *Editor) LoadAt(ctx context.Context, number uint64) (definer.Document, error) {
	newest, err := editor.Load(ctx)
	if err != nil {
		return definer.Document{}, err
	}
	sums, err := newest.head.SectionsAt(number)
	if err != nil {
		return definer.Document{}, fail("loadAt", Empty, "%w", err)
	}
	return editor.readDocument(ctx, sums)
}

func (editor *Editor) readHead(ctx context.Context) (storer.Object, error) {
	return editor.retry(ctx, func() (storer.Object, error) {
		return editor.store.Read(ctx, sectioner.HeadKind, sectioner.HeadName)
	})
}

func (editor *Editor) readDocument(ctx context.Context, sums []messenger.SectionSum) (definer.Document, error) {
	var sections []messenger.Section
	for _, sum := range sums {
		object, err := editor.retry(ctx, func() (storer.Object, error) {
			return editor.store.Read(ctx, sectioner.SectionKind, sum.Hash)
		})
		if err != nil && storer.KindOf(err) != storer.Missing {
			return definer.Document{}, fail("load", Unavailable, "%w", err)
		}
		var data bytes.Buffer
		if err == nil {
			err = json.Compact(&data, object.Value)
		}
		if err != nil {
			return definer.Document{}, fail("load", Unusable, "section %s: %w", sum.Name, err)
		}
		sections = append(sections, messenger.Section{Hash: sum.Hash, Data: data.Bytes()})
	}
	document, err := sectioner.Join(sums, sections)
	if err != nil {
		return definer.Document{}, fail("load", Unusable, "%w", err)
	}
	return document, nil
}

func isKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind() == kind
}
