package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"limpetcleat/standin/tester"
)

const (
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
	// maxLateness bounds how late the store executes a call without an answer.
	maxLateness = 6 * time.Second
	// lingering is how long an upstream serves after it has left.
	lingering  = 8 * time.Second
	healthPath = "/healthz"
)

// departure is how an upstream's start ends.
type departure string

const (
	drains  departure = "drains"
	removed departure = "removed"
	crashes departure = "crashes"
	lapses  departure = "lapses"
)

// upstream is one start of an upstream. Its heartbeats reach the store in time, late or twice.
type upstream struct {
	play   *play
	name   string
	server *httptest.Server

	// mutex guards the fields below.
	mutex    sync.Mutex
	state    string
	sequence int
	// born is the time of the start; 0 if the entry does not have it.
	born int64
	// leftAt is when the store had accepted that it leaves; zero before.
	leftAt time.Time
}

// startUpstream starts an upstream under a new name and returns it.
func (play *play) startUpstream(random *rand.Rand) *upstream {
	upstream := &upstream{play: play, name: fmt.Sprintf("i-%04d", play.count.Add(1)), state: "ready"}
	if random.IntN(2) == 0 {
		upstream.born = time.Now().UnixMilli()
	}
	upstream.server = httptest.NewServer(http.HandlerFunc(upstream.serve))
	return upstream
}

// live writes heartbeats, and leaves after a drawn time in a drawn way. It returns once the upstream has ended.
func (upstream *upstream) live(ctx context.Context, random *rand.Rand) {
	defer upstream.server.Close()
	defer upstream.server.CloseClientConnections()
	end := time.NewTimer(time.Duration(3000+random.IntN(6000)) * time.Millisecond)
	beats := time.NewTicker(heartbeat)
	defer beats.Stop()
	upstream.beat(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			upstream.beatLate(random)
		case <-end.C:
			if !upstream.leave(ctx, random, beats) {
				return
			}
			end.Reset(time.Duration(3000+random.IntN(6000)) * time.Millisecond)
		}
	}
}

// beatLate writes a heartbeat, which may be executed late, or a second time late.
func (upstream *upstream) beatLate(random *rand.Rand) {
	switch lateness := time.Duration(random.Int64N(int64(maxLateness))); random.IntN(6) {
	case 0:
		upstream.beat(lateness)
	case 1:
		upstream.beat(0)
		upstream.beat(lateness)
	default:
		upstream.beat(0)
	}
}

// leave ends the start in a drawn way; it reports whether the upstream lives on.
func (upstream *upstream) leave(ctx context.Context, random *rand.Rand, beats *time.Ticker) bool {
	departure := []departure{drains, removed, crashes, lapses}[random.IntN(4)]
	upstream.play.logf("%s %s", upstream.name, departure)
	switch departure {
	case lapses:
		pause(ctx, expiry+time.Duration(random.Int64N(int64(2*time.Second))))
		return true
	case crashes:
		return false
	case drains:
		upstream.setState("draining")
		upstream.beat(0)
		upstream.setLeft()
		for range 1 + random.IntN(3) {
			select {
			case <-beats.C:
				upstream.beatLate(random)
			case <-ctx.Done():
			}
		}
		upstream.play.fleet.Store.Remove("servers", upstream.name)
	case removed:
		upstream.play.fleet.Store.Remove("servers", upstream.name)
		upstream.setLeft()
	}
	pause(ctx, lingering)
	return false
}

// beat makes the store execute a heartbeat after the lateness.
func (upstream *upstream) beat(lateness time.Duration) {
	upstream.mutex.Lock()
	upstream.sequence++
	state, sequence := upstream.state, upstream.sequence
	upstream.mutex.Unlock()
	if lateness == 0 {
		upstream.execute(state, sequence)
		return
	}
	time.AfterFunc(lateness, func() { upstream.execute(state, sequence) })
}

// execute writes the entry. Heartbeats that change the sequence alone bring no event.
func (upstream *upstream) execute(state string, sequence int) {
	play := upstream.play
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.beatAt[upstream.name] = time.Now()
	if _, listed := play.fleet.Store.Object("servers", upstream.name); listed && play.states[upstream.name] == state {
		return
	}
	play.states[upstream.name] = state
	fields := map[string]any{"state": state, "sequence": sequence, "zone": tester.West}
	if upstream.born > 0 {
		fields["born"] = upstream.born
	}
	play.fleet.PutUpstream(upstream.name, upstream.server.Listener.Addr().String(), fields)
}

func (upstream *upstream) setState(state string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.state = state
}

func (upstream *upstream) setLeft() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.leftAt = time.Now()
}

// serve answers a request and has its arrival checked.
func (upstream *upstream) serve(writer http.ResponseWriter, request *http.Request) {
	upstream.mutex.Lock()
	leftAt, leaving := upstream.leftAt, upstream.state != "ready" || !upstream.leftAt.IsZero()
	upstream.mutex.Unlock()
	if request.URL.Path == healthPath {
		upstream.answerHealth(writer, leaving)
		return
	}
	upstream.play.check(upstream.name, request.Header.Get("X-Node"), leftAt)
	<-time.After(10 * time.Millisecond)
	tester.WriteAttemptHeaders(writer, request)
	_, _ = writer.Write([]byte("ok")) // A disconnected caller needs no response.
}

// answerHealth states whether the upstream is leaving.
func (upstream *upstream) answerHealth(writer http.ResponseWriter, leaving bool) {
	writer.Header().Set("X-Runner-Id", upstream.name)
	if leaving {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pause returns after the time or at the end of the context.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
