// Package store is an in-memory stand-in for the platform's object store. It keeps objects by
// kind and name under one global revision, and serves lists, watches and conditional writes as JSON
// over HTTP.
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

// defaultPageSize is the default maximum number of objects in the response to a list.
const defaultPageSize = 500

// Metadata holds an object's name, revisions and deletion state.
type Metadata struct {
	Name string `json:"name"`
	// Revision is that of the object's last change. In a write it is the expected current revision;
	// 0 makes the write unconditional.
	Revision   uint64   `json:"revision,omitempty"`
	CreateRev  uint64   `json:"create_rev,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
	Deleting   bool     `json:"deleting,omitempty"`
}

// Object is a stored object with its content in Spec.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// event is one change in the store's history.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`

	kind     string
	revision uint64
}

// Store holds objects and the history of their changes. It is safe for concurrent use.
type Store struct {
	pageSize int

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex    sync.Mutex
	objects  map[string]map[string]Object
	history  []event
	revision uint64
	// compactedRevision is the revision up to which the history has been discarded.
	compactedRevision uint64
	// changed is closed and replaced at each change of an object or of errorStatus.
	changed chan struct{}
	// errorStatus is the HTTP status of every response, 0 for normal operation; calls counts
	// requests.
	errorStatus int
	calls       int
	// watchFault says how watches fail.
	watchFault WatchFault
	// heardUpTo has, by kind, the revision up to which watches return changes while they lag.
	heardUpTo map[string]uint64
	// fateOf decides on the fate of writes; nil executes each at once.
	fateOf func(method, kind, name string) Fate
}

// WatchFault says how watches fail while other requests are served.
type WatchFault int

const (
	// WatchesServed is normal operation.
	WatchesServed WatchFault = iota
	// WatchesCut closes the connection of each watch soon after the request.
	WatchesCut
	// WatchesHang never responds to a watch.
	WatchesHang
)

// watchCutDelay is the time from a watch to the end of its connection under WatchesCut.
const watchCutDelay = 5 * time.Millisecond

// Option configures a Store.
type Option func(*Store)

// WithPageSize sets the maximum number of objects in the response to a list.
func WithPageSize(objects int) Option { return func(store *Store) { store.pageSize = objects } }

// New returns an empty store.
func New(options ...Option) *Store {
	store := &Store{pageSize: defaultPageSize, objects: make(map[string]map[string]Object), heardUpTo: make(map[string]uint64), changed: make(chan struct{})}
	for _, option := range options {
		option(store)
	}
	return store
}

// Put creates or replaces an object unconditionally, as the platform's own components do. It
// returns an error if the spec cannot be encoded as JSON.
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

// Remove deletes an object if it exists.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(kind, name)
}

// SetErrorStatus makes every request fail with the HTTP status, pending watches included. A status
// of 0 ends this.
func (store *Store) SetErrorStatus(status int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.errorStatus = status
	store.notifyWatchers()
}

// SetWatchFault sets how watches fail, the pending ones included.
func (store *Store) SetWatchFault(fault WatchFault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watchFault = fault
	store.notifyWatchers()
}

// LagWatches makes watches on the kinds return no change that is made from now on, until the time has passed. The
// answers name the present revision of the store all the same.
func (store *Store) LagWatches(lasts time.Duration, kinds ...string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, kind := range kinds {
		store.heardUpTo[kind] = store.revision
	}
	time.AfterFunc(lasts, func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		for _, kind := range kinds {
			delete(store.heardUpTo, kind)
		}
		store.notifyWatchers()
	})
}

// failWatch does what the fault does to a watch.
func failWatch(writer http.ResponseWriter, request *http.Request, fault WatchFault) {
	if fault == WatchesHang {
		<-request.Context().Done()
		return
	}
	<-time.After(watchCutDelay)
	if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// Compact discards the history, so that watches from an earlier revision fail with 410, pending ones included.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history = nil
	store.compactedRevision = store.revision
	store.notifyWatchers()
}

// Calls returns the number of requests received.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// Object returns an object and reports whether it exists.
func (store *Store) Object(kind, name string) (Object, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[kind][name]
	return object, ok
}

// Handler returns the HTTP API.
func (store *Store) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET("/objects/:kind", store.intercept(store.listOrWatch))
	routes.POST("/objects/:kind", store.intercept(store.fated(store.create)))
	routes.GET("/objects/:kind/:name", store.intercept(store.read))
	routes.PUT("/objects/:kind/:name", store.intercept(store.fated(store.replace)))
	routes.DELETE("/objects/:kind/:name", store.intercept(store.fated(store.delete)))
	return routes
}

// intercept counts a request and rejects it while an error status is set.
func (store *Store) intercept(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		store.mutex.Lock()
		store.calls++
		errorStatus := store.errorStatus
		store.mutex.Unlock()
		if errorStatus != 0 {
			writer.WriteHeader(errorStatus)
			return
		}
		handle(writer, request, params)
	}
}

func (store *Store) listOrWatch(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	query := request.URL.Query()
	if query.Has("watch") {
		store.watch(writer, request, params.ByName("kind"))
		return
	}
	writeJSON(writer, http.StatusOK, store.list(params.ByName("kind"), query.Get("after")))
}

// list returns the page of a kind's objects whose names sort after the given one. The caller
// encodes the result without the mutex, so that a slow client does not block other requests.
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
	truncated := len(names) > store.pageSize
	items := make([]Object, 0)
	for _, name := range names[:min(len(names), store.pageSize)] {
		items = append(items, store.objects[kind][name])
	}
	return map[string]any{"items": items, "truncated": truncated, "current_rev": store.revision}
}

// watch responds once the kind has changed after the requested revision, or with no events after
// the requested timeout. It responds with 410 if the history no longer reaches back to that
// revision.
func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timeoutMs, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		timeoutMs = 0
	}
	timer := time.NewTimer(time.Duration(timeoutMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		store.mutex.Lock()
		events, gone, errorStatus := store.eventsSince(kind, since), since < store.compactedRevision, store.errorStatus
		revision, changed, fault := store.revision, store.changed, store.watchFault
		store.mutex.Unlock()
		if fault != WatchesServed {
			failWatch(writer, request, fault)
			return
		}
		switch {
		case errorStatus != 0:
			writer.WriteHeader(errorStatus)
			return
		case gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision that watches return at present. The caller holds mutex.
func (store *Store) eventsSince(kind string, revision uint64) []event {
	events := make([]event, 0)
	heardUpTo, lags := store.heardUpTo[kind]
	for _, event := range store.history {
		if event.kind == kind && event.revision > revision && (!lags || event.revision <= heardUpTo) {
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
	writeJSON(writer, http.StatusOK, object)
}

func (store *Store) create(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	store.change(writer, request, params.ByName("kind"), func(exists bool) int {
		if exists {
			return http.StatusConflict
		}
		return http.StatusOK
	})
}

func (store *Store) replace(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	store.change(writer, request, params.ByName("kind"), func(exists bool) int {
		if !exists {
			return http.StatusNotFound
		}
		return http.StatusOK
	})
}

// change writes the object in the request body. check returns the HTTP status of the write, given
// whether the object exists; only 200 lets the write proceed.
func (store *Store) change(writer http.ResponseWriter, request *http.Request, kind string, check func(exists bool) int) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, current := store.writeIf(kind, object, check)
	writeJSON(writer, status, current)
}

// writeIf writes an object unless check returns an error status or the current revision differs
// from the expected one. It returns the HTTP status and the current object.
func (store *Store) writeIf(kind string, object Object, check func(exists bool) int) (int, Object) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, exists := store.objects[kind][object.Metadata.Name]
	status := check(exists)
	if status == http.StatusOK && object.Metadata.Revision != 0 && object.Metadata.Revision != current.Metadata.Revision {
		status = http.StatusConflict
	}
	if status == http.StatusOK {
		current = store.write(kind, object)
	}
	return status, current
}

// delete removes an object if it still has the revision in the query, if there is one.
func (store *Store) delete(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	status, object := store.removeIf(params.ByName("kind"), params.ByName("name"), request.URL.Query().Get("revision"))
	writeJSON(writer, status, object)
}

// removeIf removes an object unless its revision differs from the expected one, which may be empty. It returns
// the HTTP status and the object.
func (store *Store) removeIf(kind, name, revision string) (int, Object) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, exists := store.objects[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, Object{}
	case revision != "" && revision != strconv.FormatUint(current.Metadata.Revision, 10):
		return http.StatusConflict, current
	}
	store.remove(kind, name)
	return http.StatusOK, current
}

// write stores an object under the next revision. The caller holds mutex.
func (store *Store) write(kind string, object Object) Object {
	store.revision++
	current, exists := store.objects[kind][object.Metadata.Name]
	object.Metadata.Revision = store.revision
	object.Metadata.CreateRev = store.revision
	if exists {
		object.Metadata.CreateRev = current.Metadata.CreateRev
	}
	if store.objects[kind] == nil {
		store.objects[kind] = make(map[string]Object)
	}
	store.objects[kind][object.Metadata.Name] = object
	store.appendEvent(event{kind: kind, revision: store.revision, Object: object})
	return object
}

// remove deletes an object under the next revision. The caller holds mutex.
func (store *Store) remove(kind, name string) {
	object, ok := store.objects[kind][name]
	if !ok {
		return
	}
	store.revision++
	object.Metadata.Revision = store.revision
	delete(store.objects[kind], name)
	store.appendEvent(event{kind: kind, revision: store.revision, Removed: true, Object: object})
}

func (store *Store) appendEvent(event event) {
	store.history = append(store.history, event)
	store.notifyWatchers()
}

// notifyWatchers makes pending watches check the store again. The caller holds mutex.
func (store *Store) notifyWatchers() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// writeJSON writes a JSON response with a Content-Length header, as the platform's store does.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // The error means that the client has disconnected.
}
