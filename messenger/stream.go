package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"time"

	"limpetcleat/dialer"
)

// streamPreamble is the first byte of a connection that carries a stream. No gob message starts
// with it, as that would be a message of zero bytes.
const streamPreamble = 0

// ServeStream serves a stream that a peer opened. It closes the connection.
type ServeStream func(ctx context.Context, conn net.Conn)

// WithStreams sets what serves the streams that peers open. By default they are rejected.
func WithStreams(serve ServeStream) Option {
	return func(messenger *Messenger) { messenger.serveStream = serve }
}

// OpenStream opens a stream to the peer at the address: a connection of its own, authenticated like
// those for messages, that the peer passes to its ServeStream. The context applies until the stream
// is open. The error is of kind Unreachable.
func (messenger *Messenger) OpenStream(ctx context.Context, address string) (net.Conn, error) {
	conn, err := messenger.dial(ctx, address)
	if err != nil {
		return nil, fail("open", Unreachable, "%w", err)
	}
	if _, err := conn.Write([]byte{streamPreamble}); err != nil {
		_ = conn.Close()
		return nil, fail("open", Unreachable, "%w", err)
	}
	return conn, nil
}

// dial opens an authenticated connection to a peer.
func (messenger *Messenger) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := dialer.Sized(dialer.New(messenger.timeout), messenger.sizer)(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, read: messenger.received, written: messenger.sent}
	if messenger.client == nil {
		return counted, nil
	}
	secured := tls.Client(counted, messenger.client)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// readPreamble reads the first byte of an incoming connection, and returns the connection as it was
// before and whether the byte opens a stream.
func (messenger *Messenger) readPreamble(conn net.Conn) (net.Conn, bool, error) {
	_ = conn.SetReadDeadline(time.Now().Add(messenger.handshakeTimeout))
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return nil, false, err
	}
	if first[0] == streamPreamble {
		return conn, true, nil
	}
	return &replayedConn{Conn: conn, first: first[:]}, false, nil
}

// passStream passes a stream to what serves streams.
func (messenger *Messenger) passStream(ctx context.Context, address string, conn net.Conn) {
	if messenger.serveStream == nil {
		messenger.reject(ctx, address, fail("serve", Rejected, "this node serves no streams"))
		return
	}
	if raw, ok := conn.(syscall.Conn); ok {
		if err := dialer.Protect(raw); err != nil {
			messenger.reject(ctx, address, fail("serve", Rejected, "cannot set the probes of the connection: %w", err))
			return
		}
	}
	_ = conn.SetReadDeadline(time.Time{})
	messenger.serveStream(ctx, conn)
}

// replayedConn is a connection of which the first bytes have been read and are read again.
type replayedConn struct {
	net.Conn
	// first holds the bytes that are still to be read again.
	first []byte
}

// Read reads from the connection.
func (replayed *replayedConn) Read(data []byte) (int, error) {
	if len(replayed.first) == 0 {
		return replayed.Conn.Read(data)
	}
	count := copy(data, replayed.first)
	replayed.first = replayed.first[count:]
	return count, nil
}
