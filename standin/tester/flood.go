package tester

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// floodChunk is how many bytes of a flood are written at a time, and maxFlood the largest number of bytes
	// of one flood, which only a node that does not close its connection receives.
	floodChunk = 64 << 10
	maxFlood   = 256 << 20
	// floodTimeout bounds the time of a write.
	floodTimeout = 2 * time.Second
)

// Flood is what a process sends without end: the head once, and then the part again and again.
type Flood struct {
	Name string
	Head string
	Part string
	// After is set if the flood follows a whole answer, on the idle connection.
	After bool
	// Pause is the time between two writes of the part, which is then written once in each.
	Pause time.Duration
	// Size is the number of bytes after which nothing follows; 0 is without end.
	Size int
}

// send writes the flood until the other end closes the connection, and returns how many bytes were written.
func (flood Flood) send(conn net.Conn) int {
	repeated := bytes.Repeat([]byte(flood.Part), max(floodChunk/len(flood.Part), 1))
	if flood.Pause > 0 {
		repeated = []byte(flood.Part)
	}
	written, limit := 0, maxFlood
	if flood.Size > 0 {
		limit = flood.Size
	}
	next := append([]byte(flood.Head), repeated...)
	for written < limit {
		_ = conn.SetWriteDeadline(time.Now().Add(floodTimeout))
		count, err := conn.Write(next)
		written += count
		if err != nil {
			return written
		}
		next = repeated
		<-time.After(flood.Pause)
	}
	_, _ = io.Copy(io.Discard, conn) // Holds the connection until the other end closes it.
	return written
}

// FloodUpstream is an upstream that sends a flood in place of its answers to some requests.
type FloodUpstream struct {
	flood atomic.Pointer[Flood]
	// largest is the largest number of bytes that one connection received, floods their number.
	largest atomic.Int64
	floods  atomic.Int64
}

// FloodPath is the part of the path of requests that are answered with a flood.
const FloodPath = "flood"

// StartFloodUpstream starts and lists an upstream. Requests whose path has FloodPath are answered with the flood
// that was set last.
func StartFloodUpstream(fleet *Fleet, name string) *FloodUpstream {
	t := fleet.T
	t.Helper()
	listener, err := net.Listen("tcp", Loopback+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	upstream := &FloodUpstream{}
	go serveEach(listener, upstream.serve)
	fleet.ListUpstream(name, listener.Addr().String(), "ready")
	return upstream
}

// serveEach serves the connections of a listener until it is closed.
func serveEach(listener net.Listener, serve func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// Set sets the flood of all later answers, and forgets what earlier ones sent.
func (upstream *FloodUpstream) Set(flood Flood) {
	upstream.flood.Store(&flood)
	upstream.largest.Store(0)
	upstream.floods.Store(0)
}

// Sent returns the number of floods and the largest number of bytes that were written of one.
func (upstream *FloodUpstream) Sent() (floods, largest int64) {
	return upstream.floods.Load(), upstream.largest.Load()
}

// serve answers the requests on one connection.
func (upstream *FloodUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		flood := upstream.flood.Load()
		flooded := flood != nil && strings.Contains(request.URL.Path, FloodPath)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: signed\r\n", request.Header.Get("X-Attempt-Id"))
		if !flooded || flood.After {
			if _, err := io.WriteString(conn, head+"Content-Length: 6\r\n\r\nserved"); err != nil {
				return
			}
		}
		if flooded {
			started := *flood
			started.Head = strings.ReplaceAll(started.Head, "{head}", head)
			upstream.count(started.send(conn))
			return
		}
	}
}

func (upstream *FloodUpstream) count(written int) {
	upstream.floods.Add(1)
	for {
		largest := upstream.largest.Load()
		if int64(written) <= largest || upstream.largest.CompareAndSwap(largest, int64(written)) {
			return
		}
	}
}

// AnswerFloods returns what an upstream may send without end.
func AnswerFloods() []Flood {
	line := strings.Repeat("x", floodChunk)
	return []Flood{
		{Name: "status line", Part: line},
		{Name: "header line", Head: "HTTP/1.1 200 OK\r\nA: ", Part: line},
		{Name: "header lines", Head: "HTTP/1.1 200 OK\r\n", Part: "A: 0123456789012345678901234567890123456789\r\n"},
		{Name: "interim answers", Part: "HTTP/1.1 100 Continue\r\nA: " + line[:8<<10] + "\r\n\r\n"},
		{Name: "answers to others", Part: "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 65536\r\n\r\n" + line},
		{Name: "one answer to another", Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", Part: line},
		{Name: "body to the close", Head: "{head}\r\n", Part: line},
		{Name: "body with a length", Head: "{head}Content-Length: 16000000\r\n\r\n", Part: line},
		{Name: "chunks", Head: "{head}Transfer-Encoding: chunked\r\n\r\n", Part: "10000\r\n" + line + "\r\n"},
		{Name: "chunk extension", Head: "{head}Transfer-Encoding: chunked\r\n\r\n1;", Part: line},
		{Name: "trailer", Head: "{head}Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: ", Part: line},
		{Name: "failure", Head: "HTTP/1.1 500 Failed\r\n\r\n", Part: line},
		{Name: "behind an answer", Part: line, After: true},
	}
}

// FloodStore stands between a node and the store. Once a flood is set, it answers each request with it.
type FloodStore struct {
	// Address is where the node reaches the store.
	Address string
	store   string
	flood   atomic.Pointer[Flood]
	floods  atomic.Int64
	// mutex guards conns, the open connections; no other lock is taken while it is held.
	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

// StartFloodStore starts a FloodStore before the store of the fleet.
func StartFloodStore(fleet *Fleet) *FloodStore {
	t := fleet.T
	t.Helper()
	listener, err := net.Listen("tcp", Loopback+":0")
	assert.NilError(t, err)
	flooding := &FloodStore{Address: listener.Addr().String(), store: fleet.StoreAddress, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		flooding.closeAll()
	})
	go serveEach(listener, flooding.serve)
	return flooding
}

// Set sets the flood, nil for none, and closes the open connections.
func (flooding *FloodStore) Set(flood *Flood) {
	flooding.flood.Store(flood)
	flooding.floods.Store(0)
	flooding.closeAll()
}

// Sent returns the number of floods since the last call of Set.
func (flooding *FloodStore) Sent() int64 { return flooding.floods.Load() }

func (flooding *FloodStore) closeAll() {
	flooding.mutex.Lock()
	defer flooding.mutex.Unlock()
	for conn := range flooding.conns {
		_ = conn.Close()
	}
}

// track records an open connection, or that it is closed.
func (flooding *FloodStore) track(conn net.Conn, open bool) {
	flooding.mutex.Lock()
	defer flooding.mutex.Unlock()
	if open {
		flooding.conns[conn] = struct{}{}
		return
	}
	_ = conn.Close()
	delete(flooding.conns, conn)
}

// serve serves one connection of the node.
func (flooding *FloodStore) serve(conn net.Conn) {
	flooding.track(conn, true)
	defer flooding.track(conn, false)
	if flood := flooding.flood.Load(); flood != nil {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			flooding.floods.Add(1)
			flood.send(conn)
		}
		return
	}
	store, err := net.Dial("tcp", flooding.store)
	if err != nil {
		return
	}
	flooding.track(store, true)
	defer flooding.track(store, false)
	go func() {
		_, _ = io.Copy(store, conn)
		_ = store.Close()
	}()
	_, _ = io.Copy(conn, store)
}

// StoreFloods returns what the store may send without end.
func StoreFloods() []Flood {
	line := strings.Repeat("x", floodChunk)
	return []Flood{
		{Name: "header line", Head: "HTTP/1.1 200 OK\r\nA: ", Part: line},
		{Name: "interim answers", Part: "HTTP/1.1 100 Continue\r\nA: " + line[:8<<10] + "\r\n\r\n"},
		{Name: "body to the close", Head: "HTTP/1.1 200 OK\r\n\r\n", Part: line},
		{Name: "body with a length", Head: "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", Part: line},
		{Name: "chunks", Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Part: "10000\r\n" + line + "\r\n"},
		{Name: "entries", Head: `HTTP/1.1 200 OK` + "\r\n\r\n" + `{"items":[`, Part: strings.Repeat(`{"metadata":{"name":"x","revision":1},"spec":{}},`, 100)},
	}
}
