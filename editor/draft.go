package editor

import (
	"encoding/json"
	"errors"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// draft is an edited and validated configuration that is not written yet.
type draft struct {
	// object is the version of the platform's object that holds the head; it is set
	// when the head has been written.
	object   uint64
	head     *sectioner.Head
	value    []byte
	document definer.Document
	sections []messenger.Section
}

// newDraft applies the change to the base and validates the complete result.
func (editor *Editor) newDraft(base *Version, change Change) (*draft, error) {
	document, err := change.Apply(base.document)
	if err != nil {
		return nil, fail("edit", Invalid, "%w", err)
	}
	number := max(base.Number()+1, editor.floor)
	if err := Check(number, document); err != nil {
		return nil, err
	}
	if len(change.Summary) > maxTextLength || len(editor.operator) > maxTextLength {
		return nil, fail("edit", Invalid, "the summary and the operator's name are limited to %d bytes each", maxTextLength)
	}
	sums, sections, err := sectioner.Split(document)
	if err != nil {
		return nil, fail("edit", Invalid, "%w", err)
	}
	head := base.head.Next(sectioner.Edit{
		Version:  number,
		EditID:   editor.newID(),
		Editor:   editor.operator,
		EditedAt: editor.now().UTC(),
		Summary:  change.Summary,
	}, sums)
	value, err := json.Marshal(head)
	if err != nil || len(value) > sectioner.MaxSectionBytes {
		return nil, fail("edit", Invalid, "the configuration head has %d bytes; the limit is %d", len(value), sectioner.MaxSectionBytes)
	}
	return &draft{head: head, value: value, document: document, sections: sections}, nil
}

// Check validates a complete configuration, as each node does before applying it.
// The error is of kind Invalid and joins all faults found.
func Check(number uint64, document definer.Document) error {
	var faults []error
	if _, err := definer.Build(number, document); err != nil {
		faults = append(faults, err)
	}
	if _, err := matcher.New(definer.Rules(document)); err != nil {
		faults = append(faults, err)
	}
	if _, _, err := sectioner.Split(document); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return fail("check", Invalid, "%w", errors.Join(faults...))
	}
	return nil
}
