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

// limit is far beyond what a text takes.
const limit = 20 * time.Second

// scene is a relay before a listener of the test's own.
type scene struct {
	*relay.Relay
	*runner.Runner
	t      *testing.T
	target net.Listener
}

func start(t *testing.T) *scene {
	t.Helper()
	target, err := net.Listen("tcp", runner.Loopback)
	assert.NilError(t, err)
	relay := relay.New(relay.WithTarget(target.Addr().String()), relay.WithPeers("anna", "boris"), relay.WithCounted("anna asks"))
	running, err := runner.Start(t.Context(), relay, runner.Loopback)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, running.Stop())
		assert.NilError(t, target.Close())
	})
	return &scene{Relay: relay, Runner: running, t: t, target: target}
}

// end is one end of a connection.
type end struct {
	t *testing.T
	net.Conn
}

// dial returns both ends of a connection through the relay, over which a text has passed.
func (scene *scene) dial(text string) (near, far end) {
	scene.t.Helper()
	dialled, err := net.Dial("tcp", scene.Address())
	assert.NilError(scene.t, err)
	taken, err := scene.target.Accept()
	assert.NilError(scene.t, err)
	for _, conn := range []net.Conn{dialled, taken} {
		scene.t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(scene.t, conn.SetDeadline(time.Now().Add(limit)))
	}
	near, far = end{scene.t, dialled}, end{scene.t, taken}
	near.say(text)
	far.hear(text)
	return near, far
}

func (end end) say(text string) {
	end.t.Helper()
	_, err := io.WriteString(end, text)
	assert.NilError(end.t, err)
}

func (end end) hear(want string) {
	end.t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(end, got)
	assert.NilError(end.t, err)
	assert.Equal(end.t, string(got), want)
}

// closed expects the end of the connection with nothing before it.
func (end end) closed() {
	end.t.Helper()
	count, err := end.Read(make([]byte, 1))
	assert.Assert(end.t, count == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func (scene *scene) awaitHeld(direction relay.Direction) {
	for began := time.Now(); !scene.Holds(direction); {
		assert.Assert(scene.t, time.Since(began) < limit)
	}
}

func TestPassingIsCounted(t *testing.T) {
	scene := start(t)
	near, far := scene.dial("anna asks")
	far.say("an answer")
	near.hear("an answer")
	near.say("anna tells")
	far.hear("anna tells")
	assert.NilError(t, near.Close())
	far.closed()
	assert.NilError(t, scene.Stop())
	assert.Equal(t, scene.Counted(), 1)
	assert.Equal(t, scene.Bytes(relay.Forward), int64(len("anna asksanna tells")))
	assert.Equal(t, scene.Bytes(relay.Backward), int64(len("an answer")))
}

func TestHoldingBack(t *testing.T) {
	cases := []struct {
		name, peer string
		mode       relay.Mode
		held       relay.Direction
	}{
		{"stalling one", "anna", relay.Stalling, relay.Forward},
		{"muting one", "anna", relay.Muting, relay.Backward},
		{"stalling everyone", relay.Everyone, relay.Stalling, relay.Forward},
		{"muting everyone", relay.Everyone, relay.Muting, relay.Backward},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			scene := start(t)
			near, far := scene.dial("anna, not boris")
			other, behind := scene.dial("boris, not anna")
			scene.Set(test.peer, test.mode)
			if test.held == relay.Backward {
				near.say("still passes")
				far.hear("still passes")
				near, far = far, near
			}
			near.say("held")
			scene.awaitHeld(test.held)
			assert.NilError(t, far.SetReadDeadline(time.Now()))
			_, err := far.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			assert.NilError(t, far.SetReadDeadline(time.Now().Add(limit)))
			if test.peer != relay.Everyone {
				behind.say("of another")
				other.hear("of another")
			}
			scene.Set(test.peer, relay.Passing)
			far.hear("held")
		})
	}
}

func TestCutting(t *testing.T) {
	for _, peer := range []string{"anna", relay.Everyone} {
		scene := start(t)
		near, far := scene.dial("anna")
		other, behind := scene.dial("boris")
		scene.Set(peer, relay.Cutting)
		near.closed()
		far.closed()
		if peer == relay.Everyone {
			other.closed()
		} else {
			other.say("of another")
			behind.hear("of another")
		}
		scene.Set(peer, relay.Passing)
		scene.dial("anna again")
	}
}

func TestCloseEndsWhatIsHeld(t *testing.T) {
	scene := start(t)
	near, far := scene.dial("anna")
	scene.Set(relay.Everyone, relay.Stalling)
	near.say("held")
	scene.awaitHeld(relay.Forward)
	assert.NilError(t, scene.Stop())
	near.closed()
	far.closed()
}
