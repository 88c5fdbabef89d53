package platform

import (
	"encoding/json"
	"slices"
	"strings"
)

// Object is a stored object as the API represents it.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at the object's last write or deletion. Versions increase and
	// are never reused.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

// Items is the response to a list and to a watch.
type Items struct {
	Items    []Object `json:"items"`
	Revision int64    `json:"revision"`
}

// condition is the precondition of a write on the current object.
type condition struct {
	// version is the expected version if checked is set; zero requires that the object does not
	// exist.
	version int64
	checked bool
}

func (condition condition) matches(current int64) bool {
	return !condition.checked || condition.version == current
}

type objectKey struct {
	kind string
	name string
}

// store holds objects and the most recent changes. The caller must serialise access.
type store struct {
	objects  map[objectKey]Object
	revision int64
	// history holds the most recent changes, including deletions, in order of version.
	history      []Object
	historyLimit int
	// trimmedVersion is the version of the last change that was removed from history.
	trimmedVersion int64
}

func newStore(historyLimit int) *store {
	return &store{objects: map[objectKey]Object{}, historyLimit: historyLimit}
}

func (store *store) get(key objectKey) (Object, bool) {
	object, found := store.objects[key]
	return object, found
}

// put writes the value if the condition is met. It returns the current object in either case.
func (store *store) put(key objectKey, value json.RawMessage, condition condition) (Object, error) {
	current := store.objects[key]
	if !condition.matches(current.Version) {
		return current, &Error{Operation: "put", Kind: KindConflict}
	}
	store.revision++
	object := Object{Kind: key.kind, Name: key.name, Version: store.revision, Value: value}
	store.objects[key] = object
	store.appendHistory(object)
	return object, nil
}

// remove deletes the object if the condition is met, and returns it marked as deleted. Otherwise it
// returns the current object with the error.
func (store *store) remove(key objectKey, condition condition) (Object, error) {
	current, found := store.objects[key]
	if !condition.matches(current.Version) {
		return current, &Error{Operation: "delete", Kind: KindConflict}
	}
	if !found {
		return current, &Error{Operation: "delete", Kind: KindNotFound}
	}
	store.revision++
	current.Version = store.revision
	current.Deleted = true
	delete(store.objects, key)
	store.appendHistory(current)
	return current, nil
}

func (store *store) appendHistory(object Object) {
	store.history = append(store.history, object)
	if len(store.history) > store.historyLimit {
		store.trimmedVersion = store.history[0].Version
		store.history = store.history[1:]
	}
}

func (store *store) list(kind string) Items {
	items := []Object{}
	for key, object := range store.objects {
		if key.kind == kind {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return Items{Items: items, Revision: store.revision}
}

// changedSince returns the latest state of each object of the kind that changed after the revision.
// It returns an error of KindGone if the history no longer reaches back to the revision, or if the
// revision is later than the current one.
func (store *store) changedSince(kind string, revision int64) (Items, error) {
	if revision < store.trimmedVersion || revision > store.revision {
		return Items{}, &Error{Operation: "watch", Kind: KindGone}
	}
	items := []Object{}
	seen := map[string]bool{}
	for _, object := range slices.Backward(store.history) {
		if object.Version <= revision {
			break
		}
		if object.Kind != kind || seen[object.Name] {
			continue
		}
		seen[object.Name] = true
		items = append(items, object)
	}
	slices.Reverse(items)
	return Items{Items: items, Revision: store.revision}, nil
}
