package editor

import (
	"encoding/json"
	"errors"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// draft is a changed and checked configuration before it is written.
type draft struct {
	// object is the version of the platform's object once it is written.
	object   uint64
	head     *sectioner.Head
	value    []byte
	document definer.Document
	sections []messenger.Section
}

// draft changes the base and checks the result whole.
func (editor *Editor) draft(base *Version, change Change) (*draft, error) {
	document, err := change.Apply(base.document)
	if err != nil {
		return nil, fail("edit", Invalid, "%w", err)
	}
	number := max(base.Number()+1, editor.floor)
	if err := Check(number, document); err != nil {
		return nil, err
	}
	if len(change.Summary) > maxTextLength || len(editor.editor) > maxTextLength {
		return nil, fail("edit", Invalid, "the summary and the operator's name may have %d bytes each", maxTextLength)
	}
	sums, sections, err := sectioner.Cut(document)
	if err != nil {
		return nil, fail("edit", Invalid, "%w", err)
	}
	head := base.head.Next(sectioner.Edit{
		Version:  number,
		EditID:   editor.newID(),
		Editor:   editor.editor,
		EditedAt: editor.now().UTC(),
		Summary:  change.Summary,
	}, sums)
	value, err := json.Marshal(head)
	if err != nil || len(value) > sectioner.MaxSection {
		return nil, fail("edit", Invalid, "the head has %d bytes; allowed are %d", len(value), sectioner.MaxSection)
	}
	return &draft{head: head, value: value, document: document, sections: sections}, nil
}

// Check checks a configuration whole, as each node does before it applies one.
// The error is of kind Invalid and joins all faults.
func Check(number uint64, document definer.Document) error {
	var faults []error
	if _, err := definer.Build(number, document); err != nil {
		faults = append(faults, err)
	}
	if _, err := matcher.New(definer.Rules(document)); err != nil {
		faults = append(faults, err)
	}
	if _, _, err := sectioner.Cut(document); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return fail("check", Invalid, "%w", errors.Join(faults...))
	}
	return nil
}
