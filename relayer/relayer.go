package relayer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/dialer"
)

const (
	// requestTimeout limits the time to read a peer's request.
	requestTimeout = time.Second
	// connectTimeout limits the time to connect to an upstream for a peer. An upstream accepts
	// within a few milliseconds.
	connectTimeout = 100 * time.Millisecond
	// writeTimeout limits how long a peer or an upstream may read nothing.
	writeTimeout = 5 * time.Second
	// maxConns bounds the connections that are relayed at a time. One takes two descriptors and
	// some 30 KiB.
	maxConns = 512
)

// Connect opens a connection to an upstream over this node's own path. The error must be that of
// the connection attempt.
type Connect func(ctx context.Context, address string) (net.Conn, error)

// Relayer connects peers to upstreams. It is safe for concurrent use.
type Relayer struct {
	connect Connect
	// permits reports whether an address is that of an upstream.
	permits func(address string) bool
	count   func(open int)
	// maxConns is the largest number of connections that are relayed at a time.
	maxConns int
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	// conns holds the relayed connections.
	conns map[*relayed]struct{}
	// reserved counts the connections that are being opened.
	reserved int
	// refusing is set once no more connections are relayed.
	refusing bool
	// idle is closed once refusing is set and conns is empty. The Relayer owns it.
	idle chan struct{}
}

// Option sets an optional property of a Relayer.
type Option func(*Relayer)

// WithOpenCount sets the function that is called with the number of relayed connections when it
// changes. It must not block or call the Relayer. The default does nothing.
func WithOpenCount(count func(open int)) Option {
	return func(relayer *Relayer) { relayer.count = count }
}

// WithMaxConns sets the largest number of connections that are relayed at a time, if it is below maxConns.
func WithMaxConns(count int) Option {
	return func(relayer *Relayer) { relayer.maxConns = min(count, maxConns) }
}

// New returns a Relayer that connects to the addresses that permits accepts.
func New(connect Connect, permits func(address string) bool, options ...Option) *Relayer {
	relayer := &Relayer{connect: connect, permits: permits, count: func(int) {}, maxConns: maxConns, conns: make(map[*relayed]struct{}), idle: make(chan struct{})}
	for _, option := range options {
		option(relayer)
	}
	return relayer
}

// Serve serves the request of a peer on a stream, and closes the stream.
func (relayer *Relayer) Serve(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	stopWatch := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stopWatch()
	limited := &io.LimitedReader{R: stream, N: maxHeadBytes}
	reader := bufio.NewReaderSize(limited, readBytes)
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	request, err := http.ReadRequest(reader)
	if err != nil {
		return // The peer has given up or is not one; there is nobody to answer.
	}
	_ = stream.SetReadDeadline(time.Time{})
	limited.N = math.MaxInt64
	status, upstream := relayer.admit(ctx, request)
	if err := answer(stream, status); err != nil || upstream == nil {
		relayer.release(upstream)
		return
	}
	limitSilence(stream, dialer.ExchangeSilenceLimit)
	conn := &relayed{stream: stream, reader: reader, upstream: upstream}
	relayer.add(conn)
	defer relayer.remove(conn)
	conn.copy()
}

// limitSilence sets how long the other end of a connection may acknowledge nothing, where that can be set.
func limitSilence(conn net.Conn, limit time.Duration) {
	if raw, ok := conn.(syscall.Conn); ok {
		_ = dialer.SetSilenceLimit(raw, limit) // Fails on a closed connection only.
	}
}

// admit connects to the upstream of a request. The connection is nil unless the status is OK; it
// must be passed to release or add.
func (relayer *Relayer) admit(ctx context.Context, request *http.Request) (int, net.Conn) {
	switch {
	case request.Method != http.MethodConnect:
		return http.StatusMethodNotAllowed, nil
	case !relayer.permits(request.Host):
		return http.StatusForbidden, nil
	case !relayer.reserve():
		return http.StatusServiceUnavailable, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	upstream, err := relayer.connect(ctx, request.Host)
	if err != nil {
		relayer.unreserve()
		return http.StatusBadGateway, nil
	}
	return http.StatusOK, upstream
}

// answer writes the answer to a peer's request.
func answer(stream net.Conn, status int) error {
	response := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1, Request: &http.Request{Method: http.MethodConnect}}
	if status != http.StatusOK {
		response.Header, response.ContentLength = http.Header{"Content-Length": {"0"}}, 0
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	return response.Write(stream)
}

// reserve reports whether another connection may be relayed, and counts it as being opened.
func (relayer *Relayer) reserve() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.refusing || len(relayer.conns)+relayer.reserved >= relayer.maxConns {
		return false
	}
	relayer.reserved++
	return true
}

func (relayer *Relayer) unreserve() {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.reserved--
	relayer.closeIdle()
}

// release closes a connection of admit that is not relayed; it may be nil.
func (relayer *Relayer) release(upstream net.Conn) {
	if upstream != nil {
		_ = upstream.Close()
		relayer.unreserve()
	}
}

func (relayer *Relayer) add(conn *relayed) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.reserved--
	relayer.conns[conn] = struct{}{}
	relayer.count(len(relayer.conns))
	if relayer.refusing {
		conn.announceLeaving()
	}
}

func (relayer *Relayer) remove(conn *relayed) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	delete(relayer.conns, conn)
	relayer.count(len(relayer.conns))
	relayer.closeIdle()
}

// closeIdle closes idle if it is due. The mutex is held.
func (relayer *Relayer) closeIdle() {
	if !relayer.refusing || len(relayer.conns)+relayer.reserved > 0 {
		return
	}
	select {
	case <-relayer.idle:
	default:
		close(relayer.idle)
	}
}

// Refuse relays no more connections, and asks peers to close the open ones after their current
// exchange.
func (relayer *Relayer) Refuse() {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.refusing = true
	for conn := range relayer.conns {
		conn.announceLeaving()
	}
	relayer.closeIdle()
}

// Idle returns a channel that is closed once no connection is relayed after Refuse.
func (relayer *Relayer) Idle() <-chan struct{} { return relayer.idle }

// relayed is one relayed connection.
type relayed struct {
	// stream is the connection to the peer, read through reader.
	stream   net.Conn
	reader   *bufio.Reader
	upstream net.Conn
	// writing guards writes to stream, each of which holds whole frames; no other lock is taken
	// while it is held.
	writing sync.Mutex
	// sending guards writes to upstream and failed, which is set once one has failed; no other lock is taken while it is
	// held.
	sending sync.Mutex
	failed  bool
}

// copy copies in both directions until one side closes its connection.
func (relayed *relayed) copy() {
	var backward conc.WaitGroup
	backward.Go(relayed.copyToPeer)
	relayed.copyToUpstream()
	_ = relayed.upstream.Close()
	backward.Wait()
}

// copyToUpstream copies the peer's bytes until the peer closes its connection.
func (relayed *relayed) copyToUpstream() {
	buffer := make([]byte, readBytes)
	for {
		count, err := relayed.reader.Read(buffer)
		if err != nil {
			return
		}
		if relayed.send(buffer[:count]) != nil {
			// The upstream may have answered already, which copyToPeer still reads.
			_, _ = io.Copy(io.Discard, relayed.reader)
			return
		}
	}
}

// send writes bytes to the upstream.
func (relayed *relayed) send(data []byte) error {
	relayed.sending.Lock()
	defer relayed.sending.Unlock()
	_ = relayed.upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := relayed.upstream.Write(data)
	relayed.failed = relayed.failed || err != nil
	return err
}

// endsInOrder reports whether an end of the upstream's bytes is that of its answer: a connection reports that it was reset
// once, to a write that is under way or to a read.
func (relayed *relayed) endsInOrder() bool {
	relayed.sending.Lock()
	defer relayed.sending.Unlock()
	return !relayed.failed
}

// copyToPeer copies the upstream's bytes in frames until the upstream closes its connection. An
// end frame follows only if the upstream did so without a reset.
func (relayed *relayed) copyToPeer() {
	defer func() { _ = relayed.stream.Close() }()
	buffer := make([]byte, headBytes+maxFrameBytes)
	for {
		count, err := relayed.upstream.Read(buffer[headBytes:])
		if count > 0 {
			putHead(buffer, count)
			if relayed.write(buffer[:headBytes+count]) != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !relayed.endsInOrder():
			return
		case errors.Is(err, io.EOF):
			putHead(buffer, endFrame)
			_ = relayed.write(buffer[:headBytes]) // If this fails, the peer sees no end.
			return
		case err != nil:
			return
		}
	}
}

// write writes whole frames to the peer.
func (relayed *relayed) write(frames []byte) error {
	relayed.writing.Lock()
	defer relayed.writing.Unlock()
	_ = relayed.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := relayed.stream.Write(frames)
	return err
}

// announceLeaving asks the peer to close the connection after its current exchange. It does not
// block.
func (relayed *relayed) announceLeaving() {
	var head [headBytes]byte
	putHead(head[:], leavingFrame)
	go func() { _ = relayed.write(head[:]) }() // If this fails, the connection has ended.
}
