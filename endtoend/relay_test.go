package endtoend_test

import (
	"bytes"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes connections on to one address and can cut or stall them. It
// tells whom a connection is from by a name in the first bytes sent, which the
// inner protocol's envelopes carry.
type relay struct {
	listener net.Listener
	target   string
	names    []string
	group    sync.WaitGroup

	// mutex guards all below.
	mutex sync.Mutex
	// changed is closed and replaced with each change of the modes.
	changed chan struct{}
	// modes holds the mode for each peer; that of everyone is under "".
	modes map[string]mode
	open  map[net.Conn]string
	// held counts the reads that wait to be passed on, forward and back.
	held [2]int
	// requests counts the completions asked for through the relay.
	requests int
	ended    bool
}

// mode is what a relay does with a peer's connections.
type mode int

const (
	// passing connections are as usual.
	passing mode = iota
	// cutting closes them, and new ones at once.
	cutting
	// stalling keeps them open and passes nothing on, either way.
	stalling
	// muting passes on what the peer sends and nothing back.
	muting
)

// everyone stands for all peers of a relay.
const everyone = ""

// startRelay relays a free port of the host to the target. Names are those of the peers
// whose connections can be told apart.
func startRelay(t *testing.T, host, target string, names ...string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	relay := &relay{listener: listener, target: target, names: names, changed: make(chan struct{}), modes: map[string]mode{}, open: map[net.Conn]string{}}
	relay.group.Go(relay.accept)
	t.Cleanup(relay.close)
	return relay
}

func (relay *relay) address() string { return relay.listener.Addr().String() }

// set changes the mode for one peer, or for everyone.
func (relay *relay) set(peer string, mode mode) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.modes[peer] = mode
	if mode == cutting {
		for conn, from := range relay.open {
			if peer == everyone || peer == from {
				_ = conn.Close()
			}
		}
	}
	close(relay.changed)
	relay.changed = make(chan struct{})
}

func (relay *relay) close() {
	_ = relay.listener.Close()
	relay.mutex.Lock()
	relay.ended = true
	for conn := range relay.open {
		_ = conn.Close()
	}
	close(relay.changed)
	relay.changed = make(chan struct{})
	relay.mutex.Unlock()
	relay.group.Wait()
}

func (relay *relay) accept() {
	for {
		conn, err := relay.listener.Accept()
		if err != nil {
			return
		}
		relay.group.Go(func() { relay.pass(conn) })
	}
}

func (relay *relay) pass(near net.Conn) {
	defer relay.forget(near)
	if !relay.keep(near, everyone) {
		return
	}
	far, err := net.Dial("tcp", relay.target)
	if err != nil {
		return
	}
	defer relay.forget(far)
	if !relay.keep(far, everyone) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() { relay.copy(near, far, near, true) })
	relay.copy(far, near, near, false)
	_ = near.Close()
	_ = far.Close()
	back.Wait()
}

// keep adds a connection, unless it is to be closed at once.
func (relay *relay) keep(conn net.Conn, from string) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.open[conn] = from
	return !relay.ended && relay.modes[everyone] != cutting && relay.modes[from] != cutting
}

func (relay *relay) forget(conn net.Conn) {
	_ = conn.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.open, conn)
}

// copy passes bytes on one way, as the modes allow at the time.
func (relay *relay) copy(to, from, near net.Conn, backward bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !backward {
			relay.recognise(near, to, buffer[:count])
		}
		relay.hold(backward, 1)
		allowed := relay.allow(near, backward)
		relay.hold(backward, -1)
		if !allowed {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (relay *relay) hold(backward bool, by int) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.held[direction(backward)] += by
}

// posts returns how many completions were asked for through the relay.
func (relay *relay) posts() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.requests
}

// holds tells whether bytes wait to be passed on.
func (relay *relay) holds(backward bool) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.held[direction(backward)] > 0
}

func direction(backward bool) int {
	if backward {
		return 1
	}
	return 0
}

// recognise notes whom a connection is from, once its bytes tell.
func (relay *relay) recognise(near, far net.Conn, data []byte) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if bytes.HasPrefix(data, []byte("POST /v1/")) {
		relay.requests++
	}
	if relay.open[near] != everyone {
		return
	}
	// The sender's name comes first; others may follow in its messages.
	first := len(data)
	for _, name := range relay.names {
		if at := bytes.Index(data, []byte(name)); at >= 0 && at < first {
			first = at
			relay.open[near], relay.open[far] = name, name
		}
	}
}

// allow waits until bytes may pass; false says that the connection is to end.
func (relay *relay) allow(near net.Conn, backward bool) bool {
	for {
		relay.mutex.Lock()
		changed, mode, ended := relay.changed, relay.modes[everyone], relay.ended
		if mode == passing {
			mode = relay.modes[relay.open[near]]
		}
		relay.mutex.Unlock()
		switch {
		case ended || mode == cutting:
			return false
		case mode == passing || mode == muting && !backward:
			return true
		}
		<-changed
	}
}
