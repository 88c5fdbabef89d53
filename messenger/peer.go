package messenger

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"time"
)

// peer is the outgoing queue and connection for one address.
type peer struct {
	messenger *Messenger
	address   string
	queue     chan Message
	// client is nil while there is no connection; only run touches it.
	client *rpc.Client
	// limited bounds the size of the peer's replies; it belongs to client.
	limited *limitedReader
	// opening is sent in the next envelope; nil if the connection has carried one.
	opening *Opening
	// lost is set when the last envelope was not delivered; only run sets it.
	lost atomic.Bool
}

// run sends queued messages until the context ends or the peer has been idle for
// idleAfter.
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

// batch returns an envelope with the message and those queued behind it, up to
// batchLength messages or batchBytes of payload.
func (peer *peer) batch(first Message) *Envelope {
	envelope := &Envelope{From: peer.messenger.self, DataCentre: peer.messenger.dataCentre, Frames: []Frame{Wrap(first)}}
	size := payloadSize(first)
	for len(envelope.Frames) < batchLength && size < batchBytes {
		select {
		case next := <-peer.queue:
			size += payloadSize(next)
			envelope.Frames = append(envelope.Frames, Wrap(next))
		default:
			return envelope
		}
	}
	return envelope
}

// deliver sends one envelope and waits for its receipt. An envelope that fails is
// lost; the first failure in a row and the first success after it are reported.
func (peer *peer) deliver(ctx context.Context, envelope *Envelope) {
	err := peer.sendEnvelope(ctx, envelope)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil && !peer.lost.Load():
		peer.messenger.report(Report{Kind: PeerLost, Address: peer.address, Cause: err})
	case err == nil && peer.lost.Load():
		peer.messenger.report(Report{Kind: PeerBack, Address: peer.address})
	}
	peer.lost.Store(err != nil)
}

// sendEnvelope connects if necessary, sends one envelope and waits for its receipt.
// The error is of kind Unreachable, or that of the context if it ended.
func (peer *peer) sendEnvelope(ctx context.Context, envelope *Envelope) error {
	if err := peer.connect(ctx); err != nil {
		return err
	}
	envelope.Opening, peer.opening = peer.opening, nil
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
		return fail("deliver", Unreachable, "peer sent no receipt within %v", peer.messenger.timeout)
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
	conn, err := peer.messenger.dial(dialContext, peer.address)
	if err != nil {
		return fail("connect", Unreachable, "%w", err)
	}
	peer.opening = &Opening{Number: peer.messenger.opened.Add(1), Route: routeOf(peer.address)}
	peer.limited = &limitedReader{reader: conn, left: maxReceipt}
	peer.client = rpc.NewClient(limitedConn{Conn: conn, limited: peer.limited})
	return nil
}

func (peer *peer) disconnect() {
	if peer.client != nil {
		_ = peer.client.Close()
		peer.client = nil
	}
}

// limitedConn is a connection that is read through a limitedReader.
type limitedConn struct {
	net.Conn
	limited *limitedReader
}

// Read reads up to the remaining limit.
func (limitedConn limitedConn) Read(data []byte) (int, error) { return limitedConn.limited.Read(data) }

// countedConn is a connection that counts the bytes read and written.
type countedConn struct {
	net.Conn
	read    Count
	written Count
}

// Read reads from the connection and counts the bytes.
func (counted *countedConn) Read(data []byte) (int, error) {
	count, err := counted.Conn.Read(data)
	counted.read(0, count)
	return count, err
}

// SyscallConn returns the raw connection, which reads and writes without counting.
func (counted *countedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := counted.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// Write writes to the connection and counts the bytes.
func (counted *countedConn) Write(data []byte) (int, error) {
	count, err := counted.Conn.Write(data)
	counted.written(0, count)
	return count, err
}
