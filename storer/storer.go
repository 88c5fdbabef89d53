// Package storer is the client of the platform's object API: versions,
// conditional writes, watches and the list of VMs, over HTTP and JSON.
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
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	watchMargin     = 3 * time.Second
	idleTimeout     = 30 * time.Second
	connectionsKept = 16
)

// Object is one object of the platform.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version grows with each write of the object; 0 stands for no object.
	Version uint64 `json:"version"`
	// Value is JSON. The platform may change its white space.
	Value json.RawMessage `json:"value"`
	// Deleted objects come from watches only.
	Deleted bool `json:"deleted,omitempty"`
}

// Items are objects of one kind as they stood at a revision of the platform.
type Items struct {
	Items    []Object `json:"items"`
	Revision uint64   `json:"revision"`
}

// VM is one line of the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// VMs is the platform's list of VMs at a revision. It lags.
type VMs struct {
	VMs      []VM   `json:"vms"`
	Revision uint64 `json:"revision"`
}

// Storer calls the platform. It is safe for concurrent use.
type Storer struct {
	// addresses are base URLs, tried in turn; the list never changes.
	addresses []string
	token     string
	timeout   time.Duration
	client    *http.Client
	// current counts the failures to connect; it picks the address.
	current atomic.Uint64
}

// Option changes one setting of a Storer.
type Option func(*Storer)

// WithTimeout bounds each call but a watch; the default is 2 seconds.
func WithTimeout(timeout time.Duration) Option {
	return func(storer *Storer) { storer.timeout = timeout }
}

// New returns a client of the platform at the addresses, each an IP address
// with a port, or a base URL, as the settings have it. The token is sent as a
// bearer token unless it is empty.
func New(addresses []string, token string, options ...Option) *Storer {
	storer := &Storer{
		addresses: baseURLs(addresses),
		token:     token,
		timeout:   defaultTimeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.New(dialTimeout).DialContext,
			MaxIdleConnsPerHost: connectionsKept,
			IdleConnTimeout:     idleTimeout,
		}},
	}
	for _, option := range options {
		option(storer)
	}
	return storer
}

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

// Close ends the connections that wait for a next call.
func (storer *Storer) Close() { storer.client.CloseIdleConnections() }

// Read returns one object.
func (storer *Storer) Read(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := storer.bounded(ctx, call{operation: "read", method: http.MethodGet, path: objectPath(kind, name)}, &object)
	return object, err
}

// List returns all objects of a kind.
func (storer *Storer) List(ctx context.Context, kind string) (Items, error) {
	var items Items
	err := storer.bounded(ctx, call{operation: "list", method: http.MethodGet, path: "/objects/" + url.PathEscape(kind)}, &items)
	return items, err
}

// Create writes an object that must not exist yet. On a Conflict the object
// that stands there is returned with the error.
func (storer *Storer) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	var object Object
	err := storer.bounded(ctx, call{operation: "create", method: http.MethodPut, path: objectPath(kind, name), body: value, header: "If-None-Match", match: "*"}, &object)
	return object, err
}

// Update writes an object that must have the version. On a Conflict the object
// that stands there is returned with the error.
func (storer *Storer) Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	var object Object
	err := storer.bounded(ctx, call{operation: "update", method: http.MethodPut, path: objectPath(kind, name), body: value, header: "If-Match", match: strconv.FormatUint(version, 10)}, &object)
	return object, err
}

// Delete deletes an object that must have the version. On a Conflict the object
// that stands there is returned with the error.
func (storer *Storer) Delete(ctx context.Context, kind, name string, version uint64) (Object, error) {
	var object Object
	err := storer.bounded(ctx, call{operation: "delete", method: http.MethodDelete, path: objectPath(kind, name), header: "If-Match", match: strconv.FormatUint(version, 10)}, &object)
	return object, err
}

// Watch waits, for the given time at most, for a change of the kind after the
// revision. No items mean no change. The error is Gone when the platform's
// history does not reach back to the revision, or not up to it.
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
	err := storer.bounded(ctx, call{operation: "vms", method: http.MethodGet, path: "/vms"}, &vms)
	return vms, err
}

func (storer *Storer) bounded(ctx context.Context, call call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, storer.timeout)
	defer cancel()
	return storer.do(ctx, call, answer)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
