// Package store is a stand-in for the object store of the users' platform, for
// tests. It keeps objects by kind and name, counts one revision over all, and
// answers lists, watches and conditional writes over HTTP and JSON.
package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// defaultPage is how many objects an answer to a list holds.
const defaultPage = 500

// Metadata is what the store keeps of an object beside its content.
type Metadata struct {
	Name string `json:"name"`
	// Revision is that of the last change; in a write, the one that must stand.
	Revision   uint64   `json:"revision,omitempty"`
	CreateRev  uint64   `json:"create_rev,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
	Deleting   bool     `json:"deleting,omitempty"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// event is one change in the history of a kind.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	kind     string
	revision uint64
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	page int

	// mutex guards the rest; no other lock is taken under it.
	mutex    sync.Mutex
	objects  map[string]map[string]Object
	history  []event
	revision uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
	// changed is closed and replaced at each change and fault.
	changed chan struct{}
	// refusal is what each call is answered, 0 for none; calls counts them.
	refusal int
	calls   int
}

// Option changes one setting of a Store.
type Option func(*Store)

// WithPage sets how many objects an answer to a list holds.
func WithPage(objects int) Option { return func(store *Store) { store.page = objects } }

// New returns an empty store.
func New(options ...Option) *Store {
	store := &Store{page: defaultPage, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
	for _, option := range options {
		option(store)
	}
	return store
}

// Put writes an object as the platform's own parts do.
func (store *Store) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, Object{Metadata: Metadata{Name: name}, Spec: data})
	return nil
}

// Remove removes an object.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(kind, name)
}

// Refuse answers each call with the status until it is called with 0; watches
// that wait are answered at once.
func (store *Store) Refuse(status int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.refusal = status
	store.wake()
}

// Compact forgets the history.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history = nil
	store.compacted = store.revision
}

// Calls returns how many calls were made.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// Object returns an object, if there is one.
func (store *Store) Object(kind, name string) (Object, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[kind][name]
	return object, ok
}

// Handler returns the store's interface.
func (store *Store) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET("/objects/:kind", store.counted(store.readKind))
	routes.POST("/objects/:kind", store.counted(store.create))
	routes.GET("/objects/:kind/:name", store.counted(store.read))
	routes.PUT("/objects/:kind/:name", store.counted(store.replace))
	routes.DELETE("/objects/:kind/:name", store.counted(store.destroy))
	return routes
}

// counted counts a call and refuses it when that is wanted.
func (store *Store) counted(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		store.mutex.Lock()
		store.calls++
		refusal := store.refusal
		store.mutex.Unlock()
		if refusal != 0 {
			writer.WriteHeader(refusal)
			return
		}
		handle(writer, request, params)
	}
}

func (store *Store) readKind(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	query := request.URL.Query()
	if query.Has("watch") {
		store.watch(writer, request, params.ByName("kind"))
		return
	}
	answer(writer, http.StatusOK, store.list(params.ByName("kind"), query.Get("after")))
}

// list returns the page of a kind's objects behind a name. The mutex is not held while
// that is written: a slow link holds up nobody else.
func (store *Store) list(kind, after string) map[string]any {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	names := make([]string, 0)
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	truncated := len(names) > store.page
	items := make([]Object, 0)
	for _, name := range names[:min(len(names), store.page)] {
		items = append(items, store.objects[kind][name])
	}
	return map[string]any{"items": items, "truncated": truncated, "current_rev": store.revision}
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for over := false; ; {
		store.mutex.Lock()
		events, gone, refusal := store.since(kind, since), since < store.compacted, store.refusal
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		switch {
		case refusal != 0:
			writer.WriteHeader(refusal)
			return
		case gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			answer(writer, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

// since returns the changes of a kind after a revision; mutex is held.
func (store *Store) since(kind string, revision uint64) []event {
	events := make([]event, 0)
	for _, event := range store.history {
		if event.kind == kind && event.revision > revision {
			events = append(events, event)
		}
	}
	return events
}

func (store *Store) read(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	object, ok := store.Object(params.ByName("kind"), params.ByName("name"))
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer(writer, http.StatusOK, object)
}

func (store *Store) create(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	store.change(writer, request, params.ByName("kind"), func(standing bool) int {
		if standing {
			return http.StatusConflict
		}
		return http.StatusOK
	})
}

func (store *Store) replace(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	store.change(writer, request, params.ByName("kind"), func(standing bool) int {
		if !standing {
			return http.StatusNotFound
		}
		return http.StatusOK
	})
}

// change writes the object of a request unless allow has an error's status.
func (store *Store) change(writer http.ResponseWriter, request *http.Request, kind string, allow func(standing bool) int) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, current := store.writeIf(kind, object, allow)
	answer(writer, status, current)
}

// writeIf writes an object unless allow has an error's status or another revision
// stands; it returns the status and what stands there.
func (store *Store) writeIf(kind string, object Object, allow func(standing bool) int) (int, Object) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, standing := store.objects[kind][object.Metadata.Name]
	status := allow(standing)
	if status == http.StatusOK && object.Metadata.Revision != 0 && object.Metadata.Revision != current.Metadata.Revision {
		status = http.StatusConflict
	}
	if status == http.StatusOK {
		current = store.write(kind, object)
	}
	return status, current
}

func (store *Store) destroy(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	object, ok := store.Object(params.ByName("kind"), params.ByName("name"))
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	store.Remove(params.ByName("kind"), params.ByName("name"))
	answer(writer, http.StatusOK, object)
}

// write puts an object in place; mutex is held.
func (store *Store) write(kind string, object Object) Object {
	store.revision++
	current, standing := store.objects[kind][object.Metadata.Name]
	object.Metadata.Revision = store.revision
	object.Metadata.CreateRev = store.revision
	if standing {
		object.Metadata.CreateRev = current.Metadata.CreateRev
	}
	if store.objects[kind] == nil {
		store.objects[kind] = make(map[string]Object)
	}
	store.objects[kind][object.Metadata.Name] = object
	store.note(event{kind: kind, revision: store.revision, Object: object})
	return object
}

// remove takes an object away; mutex is held.
func (store *Store) remove(kind, name string) {
	object, ok := store.objects[kind][name]
	if !ok {
		return
	}
	store.revision++
	object.Metadata.Revision = store.revision
	delete(store.objects[kind], name)
	store.note(event{kind: kind, revision: store.revision, Removed: true, Object: object})
}

func (store *Store) note(event event) {
	store.history = append(store.history, event)
	store.wake()
}

// wake lets watches look again; mutex is held.
func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// answer writes an answer that tells its length, as the platform's store does.
func answer(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // A caller that has left needs no answer.
}
