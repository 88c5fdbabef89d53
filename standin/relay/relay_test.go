package relay_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/relay"
	"limpetcleat/standin/runner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is far longer than a short text takes to pass the relay.
const testTimeout = 20 * time.Second

// fixture is a running relay whose target is a listener of the test.
type fixture struct {
	*relay.Relay
	*runner.Runner
	t      *testing.T
	target net.Listener
}

func start(t *testing.T) *fixture {
	t.Helper()
	target, err := net.Listen("tcp", runner.Loopback)
	assert.NilError(t, err)
	relay := relay.New(relay.WithTarget(target.Addr().String()), relay.WithPeers("anna", "boris"), relay.WithCountedPrefix("anna asks"))
	running, err := runner.Start(t.Context(), relay, runner.Loopback)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, running.Stop())
		assert.NilError(t, target.Close())
	})
	return &fixture{Relay: relay, Runner: running, t: t, target: target}
}

// endpoint is one end of a connection.
type endpoint struct {
	t *testing.T
	net.Conn
}

// dial opens a connection through the relay, sends a text over it and returns both ends.
func (fixture *fixture) dial(text string) (near, far endpoint) {
	fixture.t.Helper()
	dialled, err := net.Dial("tcp", fixture.Address())
	assert.NilError(fixture.t, err)
	accepted, err := fixture.target.Accept()
	assert.NilError(fixture.t, err)
	for _, conn := range []net.Conn{dialled, accepted} {
		fixture.t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(fixture.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	}
	near, far = endpoint{fixture.t, dialled}, endpoint{fixture.t, accepted}
	near.send(text)
	far.expect(text)
	return near, far
}

func (endpoint endpoint) send(text string) {
	endpoint.t.Helper()
	_, err := io.WriteString(endpoint, text)
	assert.NilError(endpoint.t, err)
}

func (endpoint endpoint) expect(want string) {
	endpoint.t.Helper()
	received := make([]byte, len(want))
	_, err := io.ReadFull(endpoint, received)
	assert.NilError(endpoint.t, err)
	assert.Equal(endpoint.t, string(received), want)
}

// expectClosed checks that the connection was closed and no data precedes the end.
func (endpoint endpoint) expectClosed() {
	endpoint.t.Helper()
	count, err := endpoint.Read(make([]byte, 1))
	assert.Assert(endpoint.t, count == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func (fixture *fixture) awaitHeldRead(direction relay.Direction) {
	for began := time.Now(); !fixture.Holding(direction); {
		assert.Assert(fixture.t, time.Since(began) < testTimeout)
	}
}

func TestPassingIsCounted(t *testing.T) {
	fixture := start(t)
	near, far := fixture.dial("anna asks")
	far.send("an answer")
	near.expect("an answer")
	near.send("anna tells")
	far.expect("anna tells")
	assert.NilError(t, near.Close())
	far.expectClosed()
	assert.NilError(t, fixture.Stop())
	assert.Equal(t, fixture.CountedRequests(), 1)
	assert.Equal(t, fixture.ForwardedBytes(relay.ToTarget), int64(len("anna asksanna tells")))
	assert.Equal(t, fixture.ForwardedBytes(relay.ToPeer), int64(len("an answer")))
}

func TestHoldingBack(t *testing.T) {
	cases := []struct {
		name, peer string
		mode       relay.Mode
		held       relay.Direction
	}{
		{"stalling one", "anna", relay.Stalling, relay.ToTarget},
		{"muting one", "anna", relay.StallingReturn, relay.ToPeer},
		{"stalling everyone", relay.AllPeers, relay.Stalling, relay.ToTarget},
		{"muting everyone", relay.AllPeers, relay.StallingReturn, relay.ToPeer},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := start(t)
			near, far := fixture.dial("anna, not boris")
			other, behind := fixture.dial("boris, not anna")
			fixture.SetMode(test.peer, test.mode)
			if test.held == relay.ToPeer {
				near.send("still passes")
				far.expect("still passes")
				near, far = far, near
			}
			near.send("held")
			fixture.awaitHeldRead(test.held)
			assert.NilError(t, far.SetReadDeadline(time.Now()))
			_, err := far.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			assert.NilError(t, far.SetReadDeadline(time.Now().Add(testTimeout)))
			if test.peer != relay.AllPeers {
				behind.send("of another")
				other.expect("of another")
			}
			fixture.SetMode(test.peer, relay.Forwarding)
			far.expect("held")
		})
	}
}

func TestCutting(t *testing.T) {
	for _, peer := range []string{"anna", relay.AllPeers} {
		fixture := start(t)
		near, far := fixture.dial("anna")
		other, behind := fixture.dial("boris")
		fixture.SetMode(peer, relay.Disconnecting)
		near.expectClosed()
		far.expectClosed()
		if peer == relay.AllPeers {
			other.expectClosed()
		} else {
			other.send("of another")
			behind.expect("of another")
		}
		fixture.SetMode(peer, relay.Forwarding)
		fixture.dial("anna again")
	}
}

func TestCloseEndsWhatIsHeld(t *testing.T) {
	fixture := start(t)
	near, far := fixture.dial("anna")
	fixture.SetMode(relay.AllPeers, relay.Stalling)
	near.send("held")
	fixture.awaitHeldRead(relay.ToTarget)
	assert.NilError(t, fixture.Stop())
	near.expectClosed()
	far.expectClosed()
}
