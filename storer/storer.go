// Package storer is a client of the platform's object API over HTTP and JSON. It reads,
// lists and watches versioned objects, writes them on condition of their version, and
// reads the list of VMs.
package storer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"limpetcleat/dialer"
)

const (
	defaultTimeout     = 2 * time.Second
	dialTimeout        = time.Second
	watchMargin        = 3 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 16
)

// Object is an object stored on the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version grows with each write of the object; 0 means that there is no object.
	Version uint64 `json:"version"`
	// Value is JSON. The platform may change its whitespace.
	Value json.RawMessage `json:"value"`
	// Deleted marks a deleted object; only watches return these.
	Deleted bool `json:"deleted,omitempty"`
}

// Items holds objects of one kind as of a revision of the platform's store.
type Items struct {
	Items    []Object `json:"items"`
	Revision uint64   `json:"revision"`
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMs is the platform's list of VMs as of a revision. The list may be out of date.
type VMs struct {
	VMs      []VM   `json:"vms"`
	Revision uint64 `json:"revision"`
}

// Storer is a client of the platform. It is safe for concurrent use.
type Storer struct {
	// addresses are base URLs, tried in turn; the list never changes.
	addresses []string
	token     string
	timeout   time.Duration
	client    *http.Client
	// dialFailures counts the failures to connect; modulo the number of addresses it is
	// the index of the address to use.
	dialFailures atomic.Uint64
}

// Option changes one setting of a Storer.
type Option func(*Storer)

// WithTimeout sets the timeout of each call except a watch; the default is 2 seconds.
func WithTimeout(timeout time.Duration) Option {
	return func(storer *Storer) { storer.timeout = timeout }
}

// New returns a client of the platform at the addresses. Each address is an IP address
// with a port or a base URL, the forms that the settings allow. The token is sent as a
// bearer token unless it is empty.
func New(addresses []string, token string, options ...Option) *Storer {
	storer := &Storer{
		addresses: baseURLs(addresses),
		token:     token,
		timeout:   defaultTimeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.New(dialTimeout).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: dialer.MaxHeadBytes,
		}},
	}
	for _, option := range options {
		option(storer)
	}
	return storer
}

// baseURLs returns the addresses with the scheme http added where there is none.
func baseURLs(addresses []string) []string {
	bases := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		bases = append(bases, address)
	}
	return bases
}

// Close closes idle connections.
func (storer *Storer) Close() { storer.client.CloseIdleConnections() }

// Read returns one object.
func (storer *Storer) Read(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := storer.doWithTimeout(ctx, call{operation: "read", method: http.MethodGet, path: objectPath(kind, name), kind: kind, name: name}, &object)
	return object, err
}

// List returns all objects of a kind.
func (storer *Storer) List(ctx context.Context, kind string) (Items, error) {
	var items Items
	err := storer.doWithTimeout(ctx, call{operation: "list", method: http.MethodGet, path: "/objects/" + url.PathEscape(kind)}, &items)
	return items, err
}

// Create creates an object that must not exist yet. If the error is of kind Conflict,
// the existing object is returned with it.
func (storer *Storer) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	var object Object
	err := storer.doWithTimeout(ctx, call{operation: "create", method: http.MethodPut, path: objectPath(kind, name), body: value, conditionHeader: "If-None-Match", conditionValue: "*", kind: kind, name: name}, &object)
	return object, err
}

// Update replaces the value of an object that must have the given version. If the error
// is of kind Conflict, the current object is returned with it.
func (storer *Storer) Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	var object Object
	err := storer.doWithTimeout(ctx, call{operation: "update", method: http.MethodPut, path: objectPath(kind, name), body: value, conditionHeader: "If-Match", conditionValue: strconv.FormatUint(version, 10), kind: kind, name: name, replaced: version}, &object)
	return object, err
}

// Delete deletes an object that must have the given version. If the error is of kind
// Conflict, the current object is returned with it.
func (storer *Storer) Delete(ctx context.Context, kind, name string, version uint64) (Object, error) {
	var object Object
	err := storer.doWithTimeout(ctx, call{operation: "delete", method: http.MethodDelete, path: objectPath(kind, name), conditionHeader: "If-Match", conditionValue: strconv.FormatUint(version, 10), kind: kind, name: name, replaced: version}, &object)
	return object, err
}

// Watch waits at most the given time for changes to objects of the kind after revision
// since, and returns the changed objects; no items mean no change. The error is of kind
// Gone if the platform's history starts after the revision or ends before it.
func (storer *Storer) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (Items, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{
		"since":     {strconv.FormatUint(since, 10)},
		"timeoutMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var items Items
	err := storer.do(ctx, call{operation: "watch", method: http.MethodGet, path: "/watch/" + url.PathEscape(kind) + "?" + query.Encode()}, &items)
	return items, err
}

// VMs returns the list of VMs.
func (storer *Storer) VMs(ctx context.Context) (VMs, error) {
	var vms VMs
	err := storer.doWithTimeout(ctx, call{operation: "vms", method: http.MethodGet, path: "/vms"}, &vms)
	return vms, err
}

// doWithTimeout calls do with the timeout of the Storer.
func (storer *Storer) doWithTimeout(ctx context.Context, call call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, storer.timeout)
	defer cancel()
	return storer.do(ctx, call, answer)
}

// objectPath returns the URL path of an object.
func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
