package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"time"

	"limpetcleat/dialer"
)

// peer is the outgoing side towards one address.
type peer struct {
	messenger *Messenger
	address   string
	queue     chan Message
	// client is nil while there is no connection; only run touches it.
	client *rpc.Client
	// limited bounds what the peer answers; it belongs to client.
	limited *limitedReader
	// lost says that the last envelope did not get through; only run touches it.
	lost bool
}

// run sends what is queued until the context ends or the peer is idle.
func (peer *peer) run(ctx context.Context) {
	defer peer.disconnect()
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		idle.Reset(idleAfter)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if peer.messenger.retire(peer) {
				return
			}
		case message := <-peer.queue:
			peer.deliver(ctx, peer.batch(message))
		}
	}
}

// batch returns an envelope of the message and all that wait behind it.
func (peer *peer) batch(first Message) *Envelope {
	envelope := &Envelope{From: peer.messenger.self, DataCentre: peer.messenger.dataCentre, Frames: []Frame{Wrap(first)}}
	size := weight(first)
	for len(envelope.Frames) < batchLength && size < batchBytes {
		select {
		case next := <-peer.queue:
			size += weight(next)
			envelope.Frames = append(envelope.Frames, Wrap(next))
		default:
			return envelope
		}
	}
	return envelope
}

// deliver sends one envelope and waits for its receipt. A failure loses it and
// is reported when it is the first in a row.
func (peer *peer) deliver(ctx context.Context, envelope *Envelope) {
	err := peer.try(ctx, envelope)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil && !peer.lost:
		peer.messenger.report(Report{Kind: PeerLost, Address: peer.address, Cause: err})
	case err == nil && peer.lost:
		peer.messenger.report(Report{Kind: PeerBack, Address: peer.address})
	}
	peer.lost = err != nil
}

// try sends one envelope. The error is of kind Unreachable.
func (peer *peer) try(ctx context.Context, envelope *Envelope) error {
	if err := peer.connect(ctx); err != nil {
		return err
	}
	peer.messenger.sent(len(envelope.Frames), 0)
	peer.limited.allow(maxReceipt)
	call := peer.client.Go(deliverMethod, envelope, &Receipt{}, make(chan *rpc.Call, 1))
	timeout := time.NewTimer(peer.messenger.timeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		peer.disconnect()
		return fail("deliver", Unreachable, "no receipt within %v", peer.messenger.timeout)
	case ended := <-call.Done:
		if ended.Error == nil {
			return nil
		}
		peer.disconnect()
		return fail("deliver", Unreachable, "%w", ended.Error)
	}
}

func (peer *peer) connect(ctx context.Context) error {
	if peer.client != nil {
		return nil
	}
	dialContext, cancel := context.WithTimeout(ctx, peer.messenger.timeout)
	defer cancel()
	conn, err := peer.dial(dialContext)
	if err != nil {
		return fail("connect", Unreachable, "%w", err)
	}
	peer.limited = &limitedReader{reader: conn, left: maxReceipt}
	peer.client = rpc.NewClient(limitedConn{Conn: conn, limited: peer.limited})
	return nil
}

func (peer *peer) dial(ctx context.Context) (net.Conn, error) {
	conn, err := dialer.New(peer.messenger.timeout).DialContext(ctx, "tcp", peer.address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, read: peer.messenger.received, written: peer.messenger.sent}
	if peer.messenger.client == nil {
		return counted, nil
	}
	secured := tls.Client(counted, peer.messenger.client)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

func (peer *peer) disconnect() {
	if peer.client != nil {
		_ = peer.client.Close()
		peer.client = nil
	}
}

// limitedConn reads through a limit.
type limitedConn struct {
	net.Conn
	limited *limitedReader
}

// Read reads what is allowed.
func (limitedConn limitedConn) Read(data []byte) (int, error) { return limitedConn.limited.Read(data) }

// countedConn counts the bytes that cross a connection.
type countedConn struct {
	net.Conn
	read    Count
	written Count
}

// Read reads and counts.
func (counted *countedConn) Read(data []byte) (int, error) {
	count, err := counted.Conn.Read(data)
	counted.read(0, count)
	return count, err
}

// Write writes and counts.
func (counted *countedConn) Write(data []byte) (int, error) {
	count, err := counted.Conn.Write(data)
	counted.written(0, count)
	return count, err
}
