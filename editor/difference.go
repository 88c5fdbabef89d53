package editor

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"limpetcleat/definer"
)

// Difference is one difference between two configurations, for display.
type Difference struct {
	what   string
	field  string
	before string
	after  string
}

// What returns what differs, such as `rule "chat"`.
func (difference Difference) What() string { return difference.what }

// Field returns the field that differs; empty if the whole came or went.
func (difference Difference) Field() string { return difference.field }

// Before returns the earlier value as JSON; empty if there was none.
func (difference Difference) Before() string { return difference.before }

// After returns the later value as JSON; empty if there is none.
func (difference Difference) After() string { return difference.after }

// String returns the difference as one line.
func (difference Difference) String() string {
	switch {
	case difference.before == "" && difference.field == "":
		return "+ " + difference.what + " " + difference.after
	case difference.after == "" && difference.field == "":
		return "- " + difference.what + " " + difference.before
	default:
		return fmt.Sprintf("~ %s %s: %s -> %s", difference.what, difference.field,
			cmp.Or(difference.before, "none"), cmp.Or(difference.after, "none"))
	}
}

// Differences returns what differs between two documents, in a fixed order.
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
	for _, what := range sortedKeys(old, next) {
		differences = append(differences, compare(what, old[what], next[what])...)
	}
	return differences, nil
}

// fields are the values of one part of a configuration, as JSON, by name.
type fields map[string]json.RawMessage

// flatten returns every part of a document under a name such as `rule "chat"`.
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

// flattener gathers parts and the first failure.
type flattener struct {
	parts   map[string]fields
	failure error
}

func (flattener *flattener) add(what string, content any) {
	var fields fields
	data, err := json.Marshal(content)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil && flattener.failure == nil {
		flattener.failure = fail("difference", Invalid, "%s: %w", what, err)
	}
	flattener.parts[what] = fields
}

func compare(what string, before, after fields) []Difference {
	if before == nil || after == nil {
		return []Difference{{what: what, before: text(before), after: text(after)}}
	}
	var differences []Difference
	for _, field := range sortedKeys(before, after) {
		if old, next := string(before[field]), string(after[field]); old != next {
			differences = append(differences, Difference{what: what, field: field, before: old, after: next})
		}
	}
	return differences
}

func text(fields fields) string {
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
