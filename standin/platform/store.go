package platform

import (
	"encoding/json"
	"slices"
	"strings"
)

// Object is one stored object as the API shows it.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the object's last write. It grows and is never
	// used again.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted"`
}

// Items is the answer to a list and to a watch.
type Items struct {
	Items    []Object `json:"items"`
	Revision int64    `json:"revision"`
}

// condition says what a write asks of the object that it replaces.
type condition struct {
	// version is the wanted version where checked is set; zero wants that there is
	// none.
	version int64
	checked bool
}

func (condition condition) holds(current int64) bool {
	return !condition.checked || condition.version == current
}

type objectKey struct {
	kind string
	name string
}

// store holds objects and the last changes. Its owner has the lock.
type store struct {
	objects  map[objectKey]Object
	revision int64
	// history has the last changes in order of version, deletions too.
	history []Object
	bound   int
	// floor is the version of the last change that history no longer has.
	floor int64
}

func newStore(bound int) *store {
	return &store{objects: map[objectKey]Object{}, bound: bound}
}

func (store *store) get(key objectKey) (Object, bool) {
	object, found := store.objects[key]
	return object, found
}

// put writes the value when the condition holds. It returns the object that
// then stands.
func (store *store) put(key objectKey, value json.RawMessage, condition condition) (Object, error) {
	current := store.objects[key]
	if !condition.holds(current.Version) {
		return current, &Error{Operation: "put", Kind: KindConflict}
	}
	store.revision++
	object := Object{Kind: key.kind, Name: key.name, Version: store.revision, Value: value}
	store.objects[key] = object
	store.record(object)
	return object, nil
}

func (store *store) remove(key objectKey, condition condition) (Object, error) {
	current, found := store.objects[key]
	if !condition.holds(current.Version) {
		return current, &Error{Operation: "delete", Kind: KindConflict}
	}
	if !found {
		return current, &Error{Operation: "delete", Kind: KindNotFound}
	}
	store.revision++
	current.Version = store.revision
	current.Deleted = true
	delete(store.objects, key)
	store.record(current)
	return current, nil
}

func (store *store) record(object Object) {
	store.history = append(store.history, object)
	if len(store.history) > store.bound {
		store.floor = store.history[0].Version
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

// since returns the last state of each object of the kind that changed after
// the revision.
func (store *store) since(kind string, revision int64) (Items, error) {
	if revision < store.floor || revision > store.revision {
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
