package relay

import (
	"bytes"
	"context"
	"net"

	"github.com/sourcegraph/conc"
)

const bufferBytes = 32 << 10

// connection is one proxied connection with its connections to the peer and to the target.
type connection struct {
	relay                *Relay
	peerConn, targetConn net.Conn
}

// forward connects a peer to the target and copies in both directions until one end closes.
func (relay *Relay) forward(ctx context.Context, peerConn net.Conn) {
	defer relay.closeConn(peerConn)
	if !relay.register(peerConn) {
		return
	}
	targetConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", relay.target)
	if err != nil {
		return
	}
	defer relay.closeConn(targetConn)
	if !relay.register(targetConn) {
		return
	}
	connection := &connection{relay: relay, peerConn: peerConn, targetConn: targetConn}
	var backward conc.WaitGroup
	backward.Go(func() { connection.copy(ToPeer) })
	connection.copy(ToTarget)
	backward.Wait()
}

// register adds a connection and reports whether it may stay open.
func (relay *Relay) register(conn net.Conn) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.connections[conn] = AllPeers
	return !relay.stopped && relay.modes[AllPeers] != Disconnecting
}

func (relay *Relay) closeConn(conn net.Conn) {
	_ = conn.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.connections, conn)
}

// copy forwards bytes in one direction as the current modes allow. When it returns, it closes both
// ends, which also ends the copy in the other direction.
func (connection *connection) copy(direction Direction) {
	from, to := connection.peerConn, connection.targetConn
	if direction == ToPeer {
		from, to = to, from
	}
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if direction == ToTarget {
			connection.inspect(buffer[:count])
		}
		if !connection.awaitForwarding(direction) {
			return
		}
		written, err := to.Write(buffer[:count])
		connection.relay.forwardedBytes[direction].Add(int64(written))
		if err != nil {
			return
		}
	}
}

// inspect counts requests and identifies the peer by the first known name in the data.
func (connection *connection) inspect(data []byte) {
	relay := connection.relay
	if len(relay.countedPrefix) > 0 && bytes.HasPrefix(data, relay.countedPrefix) {
		relay.countedRequests.Add(1)
	}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.connections[connection.peerConn] != AllPeers {
		return
	}
	// The sender's name precedes all other names, which may follow in its messages.
	earliest := len(data)
	for _, name := range relay.peers {
		if index := bytes.Index(data, []byte(name)); index >= 0 && index < earliest {
			earliest = index
			relay.connections[connection.peerConn], relay.connections[connection.targetConn] = name, name
		}
	}
}

// awaitForwarding waits until bytes may be forwarded. It returns false if the connection is to be
// closed instead.
func (connection *connection) awaitForwarding(direction Direction) bool {
	relay := connection.relay
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.heldReads[direction]++
	defer func() { relay.heldReads[direction]-- }()
	for {
		mode := relay.effectiveMode(connection.peerConn)
		switch {
		case relay.stopped || mode == Disconnecting:
			return false
		case mode == Forwarding || mode == StallingReturn && direction == ToTarget:
			return true
		}
		relay.awaitModeChange()
	}
}

// effectiveMode returns the current mode of a connection; the caller holds the mutex.
func (relay *Relay) effectiveMode(peerConn net.Conn) Mode {
	if mode := relay.modes[AllPeers]; mode != Forwarding {
		return mode
	}
	return relay.modes[relay.connections[peerConn]]
}

// awaitModeChange releases the mutex, waits for a change of the modes, and locks the mutex again.
func (relay *Relay) awaitModeChange() {
	changed := relay.modeChanged
	relay.mutex.Unlock()
	<-changed
	relay.mutex.Lock()
}
