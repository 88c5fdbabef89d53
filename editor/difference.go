package editor

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"limpetcleat/definer"
)

// Difference is one added, removed or changed part of a configuration, for display.
type Difference struct {
	part   string
	field  string
	before string
	after  string
}

// What returns the part of the configuration that differs, such as `rule "chat"`.
func (difference Difference) What() string { return difference.part }

// Field returns the name of the changed field; it is empty if the whole part was
// added or removed.
func (difference Difference) Field() string { return difference.field }

// Before returns the old value as JSON; it is empty if there was none.
func (difference Difference) Before() string { return difference.before }

// After returns the new value as JSON; it is empty if there is none.
func (difference Difference) After() string { return difference.after }

// String returns the difference as one line that begins with + (added), -
// (removed) or ~ (changed).
func (difference Difference) String() string {
	switch {
	case difference.before == "" && difference.field == "":
		return "+ " + difference.part + " " + difference.after
	case difference.after == "" && difference.field == "":
		return "- " + difference.part + " " + difference.before
	default:
		return fmt.Sprintf("~ %s %s: %s -> %s", difference.part, difference.field,
			cmp.Or(difference.before, "none"), cmp.Or(difference.after, "none"))
	}
}

// Differences returns the differences between two documents, sorted by part and
// field.
func Differences(before, after definer.Document) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for _, part := range sortedKeys(old, next) {
		differences = append(differences, compareFields(part, old[part], next[part])...)
	}
	return differences, nil
}

// fields holds the JSON values of one part of a configuration by field name.
type fields map[string]json.RawMessage

// flatten returns the fields of every part of a document, keyed by the name of the
// part, such as `rule "chat"`.
func flatten(document definer.Document) (map[string]fields, error) {
	flattener := &flattener{parts: make(map[string]fields)}
	flattener.add("limits", document.Limits)
	var order []string
	for _, class := range document.Classes {
		flattener.add(fmt.Sprintf("class %q", class.Name), class)
	}
	for _, organisation := range document.Organisations {
		flattener.add(fmt.Sprintf("organisation %q", organisation.Name), organisation)
	}
	for _, rule := range document.Rules {
		flattener.add(fmt.Sprintf("rule %q", rule.Name), rule)
		order = append(order, rule.Name)
	}
	flattener.add("rules", map[string][]string{"order": order})
	for _, pool := range document.Pools {
		upstreams := pool.Upstreams
		pool.Upstreams = nil
		flattener.add(fmt.Sprintf("pool %q", pool.Name), pool)
		for _, upstream := range upstreams {
			flattener.add(fmt.Sprintf("pool %q upstream %q", pool.Name, upstream.Name), upstream)
		}
	}
	return flattener.parts, flattener.failure
}

// flattener collects the parts of a document and the first error.
type flattener struct {
	parts   map[string]fields
	failure error
}

func (flattener *flattener) add(part string, content any) {
	var fields fields
	data, err := json.Marshal(content)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil && flattener.failure == nil {
		flattener.failure = fail("difference", Invalid, "%s: %w", part, err)
	}
	flattener.parts[part] = fields
}

func compareFields(part string, before, after fields) []Difference {
	if before == nil || after == nil {
		return []Difference{{part: part, before: encode(before), after: encode(after)}}
	}
	var differences []Difference
	for _, field := range sortedKeys(before, after) {
		if old, next := string(before[field]), string(after[field]); old != next {
			differences = append(differences, Difference{part: part, field: field, before: old, after: next})
		}
	}
	return differences
}

func encode(fields fields) string {
	data, err := json.Marshal(fields)
	if fields == nil || err != nil {
		return ""
	}
	return string(data)
}

func sortedKeys[Value any](first, second map[string]Value) []string {
	all := maps.Clone(first)
	maps.Copy(all, second)
	return slices.Sorted(maps.Keys(all))
}
