package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"limpetcleat/timer"
)

const (
	// maxIncoming bounds the open incoming connections. Each member opens at most
	// one connection to each other member, so fleets of thousands stay below it.
	maxIncoming = 4096
	// silentAfter is how long a peer may send nothing before its connection is
	// closed. A live peer closes an idle connection itself after idleAfter.
	silentAfter = 2 * idleAfter
	// defaultHandshakeTimeout bounds the TLS handshake and the wait for the first
	// envelope of an incoming connection.
	defaultHandshakeTimeout = 5 * time.Second
)

// accept accepts connections and serves each in its own goroutine until the
// context ends.
func (messenger *Messenger) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			closeAll(conn)
			return
		}
		if err != nil {
			_ = timer.Sleep(ctx, acceptAgainAfter) // The loop sees the context end.
			continue
		}
		if !messenger.track(conn) {
			_ = conn.Close()
			messenger.rejections.add(conn.RemoteAddr().String(), fail("accept", Rejected, "limit of %d open connections reached", messenger.maxIncoming))
			continue
		}
		messenger.group.Go(func() { messenger.serve(ctx, conn) })
	}
}

func closeAll(conns ...net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// serve authenticates one connection and receives its envelopes, or serves its stream, until
// either side closes it. A connection that ends without either is reported as rejected.
func (messenger *Messenger) serve(ctx context.Context, conn net.Conn) {
	defer messenger.untrack(conn)
	address := conn.RemoteAddr().String()
	counted := &countedConn{Conn: conn, read: messenger.received, written: messenger.sent}
	secured, err := messenger.authenticate(ctx, counted)
	if err != nil {
		messenger.reject(ctx, address, err)
		return
	}
	secured, streamed, err := messenger.readPreamble(secured)
	if err != nil {
		messenger.reject(ctx, address, fail("serve", Rejected, "nothing arrived on the connection: %w", err))
		return
	}
	if streamed {
		messenger.passStream(ctx, address, secured)
		return
	}
	inner := &Inner{messenger: messenger, conn: secured}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, inner); err != nil {
		return
	}
	incoming := newCodec(secured, messenger.memory)
	server.ServeCodec(incoming)
	if excess := incoming.limited.excess; excess != nil {
		messenger.reject(ctx, address, fail("serve", Rejected, "%w", excess))
		return
	}
	if !inner.receivedEnvelope.Load() {
		messenger.reject(ctx, address, fail("serve", Rejected, "no valid envelope arrived on the connection"))
	}
}

// authenticate returns the connection after a mutual TLS handshake, or the
// connection itself when TLS is off.
func (messenger *Messenger) authenticate(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if messenger.server == nil {
		return conn, nil
	}
	limited, cancel := context.WithTimeout(ctx, messenger.handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, messenger.server)
	if err := secured.HandshakeContext(limited); err != nil {
		return nil, fail("prove", Rejected, "%w", err)
	}
	return secured, nil
}

func (messenger *Messenger) reject(ctx context.Context, address string, cause error) {
	if ctx.Err() == nil {
		messenger.rejections.add(address, cause)
	}
}

// track registers an open connection. It returns false when maxIncoming
// connections are open or the messenger is stopping.
func (messenger *Messenger) track(conn net.Conn) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if len(messenger.conns) >= messenger.maxIncoming || messenger.closed {
		return false
	}
	messenger.conns[conn] = struct{}{}
	return true
}

// untrack closes a connection and removes it from the open ones.
func (messenger *Messenger) untrack(conn net.Conn) {
	_ = conn.Close()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	delete(messenger.conns, conn)
}

// closeConnections closes every open connection and makes track refuse new ones.
func (messenger *Messenger) closeConnections() {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.closed = true
	for conn := range messenger.conns {
		_ = conn.Close()
	}
}

// Inner is the net/rpc service of one incoming connection. It is exported for
// net/rpc; only the peer calls its method Deliver.
type Inner struct {
	messenger *Messenger
	conn      net.Conn
	// receivedEnvelope is set once the peer has sent an envelope.
	receivedEnvelope atomic.Bool
	// number and route are those of the first envelope's Opening; route is nil if it has none. Envelopes are served
	// one at a time.
	number uint64
	route  *route
}

// Receipt is the empty reply that acknowledges an envelope.
type Receipt struct{}

// Deliver receives one envelope and passes its messages on in order. A frame without
// a message is left out: it holds one that only later versions know. The error is of
// kind Malformed when a frame holds several messages; the messages of the frames
// before it have been delivered. It is of kind Rejected if the sender has replaced the connection.
func (inner *Inner) Deliver(envelope *Envelope, _ *Receipt) error {
	inner.receivedEnvelope.Store(true)
	now := time.Now()
	if !inner.begin(now, envelope) {
		_ = inner.conn.Close()
		err := fail("deliver", Rejected, "a newer connection of the sender has delivered")
		inner.messenger.rejections.add(string(envelope.From.VM), err)
		return err
	}
	defer inner.end()
	_ = inner.conn.SetReadDeadline(now.Add(silentAfter))
	inner.messenger.received(len(envelope.Frames), 0)
	for _, frame := range envelope.Frames {
		message, err := Unwrap(frame)
		if frame == (Frame{}) {
			inner.messenger.rejections.add(string(envelope.From.VM), err)
			continue
		}
		if err != nil {
			inner.messenger.rejections.add(string(envelope.From.VM), err)
			return err
		}
		inner.messenger.deliver(envelope.From, envelope.DataCentre, message)
	}
	return nil
}
