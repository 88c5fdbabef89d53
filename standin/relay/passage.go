package relay

import (
	"bytes"
	"context"
	"net"

	"github.com/sourcegraph/conc"
)

const bufferSize = 32 << 10

// passage is one connection through a relay: near is the peer's end, far the target's.
type passage struct {
	relay     *Relay
	near, far net.Conn
}

// pass joins a new connection to the target until one end closes.
func (relay *Relay) pass(ctx context.Context, near net.Conn) {
	defer relay.forget(near)
	if !relay.keep(near) {
		return
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", relay.target)
	if err != nil {
		return
	}
	defer relay.forget(far)
	if !relay.keep(far) {
		return
	}
	passage := &passage{relay: relay, near: near, far: far}
	var back conc.WaitGroup
	back.Go(func() { passage.copy(Backward) })
	passage.copy(Forward)
	back.Wait()
}

// keep adds a connection; false says that it is to be closed at once.
func (relay *Relay) keep(conn net.Conn) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.open[conn] = Everyone
	return !relay.ended && relay.modes[Everyone] != Cutting
}

func (relay *Relay) forget(conn net.Conn) {
	_ = conn.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.open, conn)
}

// copy passes bytes on one way, as the modes allow at the time, and ends both ways when it ends.
func (passage *passage) copy(direction Direction) {
	from, to := passage.near, passage.far
	if direction == Backward {
		from, to = to, from
	}
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if direction == Forward {
			passage.recognise(buffer[:count])
		}
		if !passage.allow(direction) {
			return
		}
		written, err := to.Write(buffer[:count])
		passage.relay.bytes[direction].Add(int64(written))
		if err != nil {
			return
		}
	}
}

// recognise counts requests, and notes whom the connection is from once its bytes tell.
func (passage *passage) recognise(data []byte) {
	relay := passage.relay
	if len(relay.counted) > 0 && bytes.HasPrefix(data, relay.counted) {
		relay.matches.Add(1)
	}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.open[passage.near] != Everyone {
		return
	}
	// The sender's name comes first; others may follow in its messages.
	first := len(data)
	for _, name := range relay.peers {
		if at := bytes.Index(data, []byte(name)); at >= 0 && at < first {
			first = at
			relay.open[passage.near], relay.open[passage.far] = name, name
		}
	}
}

// allow waits until bytes may pass; false says that the connection is to end.
func (passage *passage) allow(direction Direction) bool {
	relay := passage.relay
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.held[direction]++
	defer func() { relay.held[direction]-- }()
	for {
		mode := relay.mode(passage.near)
		switch {
		case relay.ended || mode == Cutting:
			return false
		case mode == Passing || mode == Muting && direction == Forward:
			return true
		}
		relay.awaitChange()
	}
}

// mode returns what happens to a connection now; the mutex is held.
func (relay *Relay) mode(near net.Conn) Mode {
	if mode := relay.modes[Everyone]; mode != Passing {
		return mode
	}
	return relay.modes[relay.open[near]]
}

// awaitChange gives the mutex up until the modes change.
func (relay *Relay) awaitChange() {
	changed := relay.changed
	relay.mutex.Unlock()
	<-changed
	relay.mutex.Lock()
}
