package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// errGivenUp is the error with which a test gives up a silent upstream.
var errGivenUp = errors.New("given up")

// scriptedSilence gives an exchange up when nothing has arrived for the limit a number of times.
type scriptedSilence struct {
	limit   time.Duration
	patient int
	reached int
	resumed int
	// reach is called when nothing has arrived for the limit; nil does nothing.
	reach func()
}

func (silence *scriptedSilence) Limit() time.Duration { return silence.limit }

func (silence *scriptedSilence) Reached(connector.Pause) bool {
	silence.reached++
	if silence.reach != nil {
		silence.reach()
	}
	return silence.reached > silence.patient
}

func (silence *scriptedSilence) Ended() error { return errGivenUp }

func (silence *scriptedSilence) Resumed() { silence.resumed++ }

// startSlowUpstream starts a server that answers with a head, and sends the text once next is closed. It
// closes written once it has sent the text.
func startSlowUpstream(t *testing.T, next <-chan struct{}) (address string, written <-chan struct{}) {
	t.Helper()
	sent := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n")
		<-next
		_, _ = io.WriteString(conn, "text")
		close(sent)
		<-t.Context().Done()
	}()
	return listener.Addr().String(), sent
}

// It guards against a reader that takes the time in which it did not read for the silence of the upstream.
func TestBytesThatWaitAreNoSilence(t *testing.T) {
	next := make(chan struct{})
	outgoing, silence := newOutgoing(), &scriptedSilence{limit: 30 * time.Millisecond}
	outgoing.Silence = silence
	address, written := startSlowUpstream(t, next)
	answer, err := connector.New().Exchange(context.Background(), context.Background(), address, outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	close(next)
	<-written
	<-time.After(2 * silence.limit) // The limit passes while the text waits.
	body, err := answer.ReadAll(64)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
	assert.Equal(t, silence.reached, 0)
}

// It guards against exchanges that end at a silence which their owner endures, or go on after it is given
// up.
func TestSilenceIsEnduredUntilGivenUp(t *testing.T) {
	next := make(chan struct{})
	defer close(next)
	outgoing, silence := newOutgoing(), &scriptedSilence{limit: 20 * time.Millisecond, patient: 2}
	outgoing.Silence = silence
	address, _ := startSlowUpstream(t, next)
	answer, err := connector.New().Exchange(context.Background(), context.Background(), address, outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	_, err = answer.ReadAll(64)
	assert.Assert(t, errors.Is(err, errGivenUp), "%v", err)
	assert.Equal(t, silence.reached, 3)
}

// It guards against an exchange that is given up although its upstream went on while its owner decided.
func TestWhatArrivesBeforeTheEndResumes(t *testing.T) {
	next := make(chan struct{})
	outgoing, silence := newOutgoing(), &scriptedSilence{limit: 20 * time.Millisecond}
	outgoing.Silence = silence
	address, written := startSlowUpstream(t, next)
	silence.reach = func() {
		close(next)
		<-written
		<-time.After(silence.limit)
	}
	answer, err := connector.New().Exchange(context.Background(), context.Background(), address, outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	body, err := answer.ReadAll(64)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
	assert.Equal(t, silence.resumed, 1)
}

// It guards against a limit that applies only after the longer one before it has passed.
func TestShorterLimitAppliesAtOnce(t *testing.T) {
	next := make(chan struct{})
	defer close(next)
	outgoing, silence := newOutgoing(), &scriptedSilence{limit: time.Minute}
	outgoing.Silence = silence
	address, _ := startSlowUpstream(t, next)
	answer, err := connector.New().Exchange(context.Background(), context.Background(), address, outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	silence.limit = 20 * time.Millisecond
	_, err = answer.ReadAll(64)
	assert.Assert(t, errors.Is(err, errGivenUp), "%v", err)
}
