// Package weigher bounds the memory that the heads of requests take over all connections of a server: their bytes, and
// their lines, as a server keeps a name, a value and an entry of a map for each field.
package weigher

import (
	"container/list"
	"context"
	"net"
	"net/http"

	"limpetcleat/rationer"
)

const (
	// freeBytes is the size in bytes of a head that takes no further memory: the server reads it into the buffer of
	// the connection. maxBytes is the largest size that a server may be set to read.
	freeBytes = 4 << 10
	maxBytes  = 128 << 10
	// byteCost is how many bytes of memory each byte of a head takes while it is parsed: the line that grows, twice its
	// length, and its copy.
	byteCost = 4
	// freeLines is the number of lines of a head that are not counted, lineCost how many bytes of memory each further
	// one takes: its entry in the map, which holds twice as many while it grows, its value, and the strings.
	freeLines = 128
	lineCost  = 256
)

// Weigher bounds what the heads of requests take. It is safe for concurrent use.
type Weigher struct {
	memory *rationer.Rationer
	// onShortage is called for each connection that is closed since there is no memory for its head.
	onShortage func()
	// maxOpen is the largest number of open connections of a listener; 0 means without limit.
	maxOpen int
}

// Option changes one setting of a Weigher.
type Option func(*Weigher)

// WithShortages sets the function that is called for each connection that is closed since there is no memory for its head. It
// must not block. The default does nothing.
func WithShortages(onShortage func()) Option {
	return func(weigher *Weigher) { weigher.onShortage = onShortage }
}

// WithMaxConnections sets the largest number of open connections of a listener: for one more, the one that has served no
// request for longest is closed. The default is without limit.
func WithMaxConnections(count int) Option {
	return func(weigher *Weigher) { weigher.maxOpen = count }
}

// New returns a Weigher for heads that take the memory.
func New(memory *rationer.Rationer, options ...Option) *Weigher {
	weigher := &Weigher{memory: memory, onShortage: func() {}}
	for _, option := range options {
		option(weigher)
	}
	return weigher
}

// Allowance returns what a head of at most limit bytes takes, of which a buffer of free bytes holds the first.
func Allowance(free, limit int64) rationer.Allowance {
	return rationer.Allowance{Free: free, Limit: limit, Cost: byteCost, FreeLines: freeLines, LineCost: lineCost}
}

// NewHead returns what counts the heads of requests on a new connection; its owner closes it.
func (weigher *Weigher) NewHead() *Head {
	return &Head{meter: weigher.memory.NewMeter(Allowance(freeBytes, maxBytes))}
}

// Listen returns a listener whose connections fail if there is no memory for the head of a request, and which bounds their
// number.
func (weigher *Weigher) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, weigher: weigher, waiting: list.New()}
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Attach makes a server, whose listener must be of Listen, tell when a request has been received and served.
func (weigher *Weigher) Attach(server *http.Server) {
	handler, next := server.Handler, server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, conn)
		}
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		weighed, ok := request.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		if !weighed.beginServing(request.ContentLength) {
			weigher.onShortage()
			Abort(writer)
			return
		}
		defer weighed.endServing()
		handler.ServeHTTP(writer, request)
	})
}

// Abort closes the connection of a request without an answer.
func Abort(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
