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
	// maxIncoming bounds the open incoming connections. Each member keeps one to
	// each other at most, so that a fleet of thousands stays below it.
	maxIncoming = 4096
	// silentAfter is how long a peer may send nothing before its connection is
	// closed. A live peer closes an idle one itself after idleAfter.
	silentAfter = 2 * idleAfter
	// defaultHandshakeTimeout bounds the time until a peer has proved itself.
	defaultHandshakeTimeout = 5 * time.Second
)

// accept serves connections until the context ends.
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
		if !messenger.keep(conn) {
			_ = conn.Close()
			messenger.rejections.add(conn.RemoteAddr().String(), fail("accept", Rejected, "%d connections are open", maxIncoming))
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

// serve serves one connection until either side closes it.
func (messenger *Messenger) serve(ctx context.Context, conn net.Conn) {
	defer messenger.drop(conn)
	address := conn.RemoteAddr().String()
	counted := &countedConn{Conn: conn, read: messenger.received, written: messenger.sent}
	proved, err := messenger.prove(ctx, counted)
	if err != nil {
		messenger.reject(ctx, address, err)
		return
	}
	inner := &Inner{messenger: messenger, conn: proved}
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, inner); err != nil {
		return
	}
	_ = proved.SetReadDeadline(time.Now().Add(messenger.handshakeTimeout))
	server.ServeCodec(newCodec(proved))
	if !inner.spoke.Load() {
		messenger.reject(ctx, address, fail("serve", Rejected, "no message of this protocol came"))
	}
}

// prove returns the connection once the peer has shown its certificate, or as
// it is when peers go without TLS.
func (messenger *Messenger) prove(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

// keep notes an open connection, unless there are too many.
func (messenger *Messenger) keep(conn net.Conn) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if len(messenger.conns) >= maxIncoming || messenger.closed {
		return false
	}
	messenger.conns[conn] = struct{}{}
	return true
}

// drop closes and forgets a connection.
func (messenger *Messenger) drop(conn net.Conn) {
	_ = conn.Close()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	delete(messenger.conns, conn)
}

// hangUp closes every open connection and lets no other be kept.
func (messenger *Messenger) hangUp() {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.closed = true
	for conn := range messenger.conns {
		_ = conn.Close()
	}
}

// Inner is the net/rpc service of one connection. Its one method is called by
// the peer only.
type Inner struct {
	messenger *Messenger
	conn      net.Conn
	// spoke says that the peer has sent an envelope.
	spoke atomic.Bool
}

// Receipt answers an envelope.
type Receipt struct{}

// Deliver takes in one envelope. The error is of kind Malformed when a frame
// holds no single message; the frames before it have been taken in.
func (inner *Inner) Deliver(envelope *Envelope, _ *Receipt) error {
	inner.spoke.Store(true)
	_ = inner.conn.SetReadDeadline(time.Now().Add(silentAfter))
	inner.messenger.received(len(envelope.Frames), 0)
	for _, frame := range envelope.Frames {
		message, err := Unwrap(frame)
		if err != nil {
			inner.messenger.rejections.add(string(envelope.From.VM), err)
			return err
		}
		inner.messenger.deliver(envelope.From, envelope.DataCentre, message)
	}
	return nil
}
