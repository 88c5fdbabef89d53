package limpetcleat_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat"
	"limpetcleat/follower"
	"limpetcleat/forwarder"
	"limpetcleat/informer"
	"limpetcleat/logger"
	"limpetcleat/monitor"
	"limpetcleat/platform"
	"limpetcleat/registrar"
)

// crashingFeed panics when it is read.
type crashingFeed struct{}

// List panics.
func (crashingFeed) List(context.Context) ([]registrar.Upstream, uint64, error) {
	return nil, beyond(nil), nil
}

// Watch panics.
func (crashingFeed) Watch(context.Context, uint64, time.Duration) ([]registrar.Change, follower.Revisions, error) {
	return nil, follower.Revisions{Current: beyond(nil)}, nil
}

// beyond panics.
func beyond(values []uint64) uint64 { return values[len(values)] }

// eventRecorder records the pairs of events by their number.
type eventRecorder struct {
	mutex  sync.Mutex
	events map[int]string
}

// Event records an event.
func (recorder *eventRecorder) Event(number int, pairs ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.events[number] = fmt.Sprint(pairs...)
}

// EventAt records an event.
func (recorder *eventRecorder) EventAt(_ time.Time, number int, pairs ...any) {
	recorder.Event(number, pairs...)
}

// TestCrashOfAPartStopsTheNode guards against a node that goes on without one of its parts, with old
// upstreams or rules, and logs nothing about the panic before it is stopped.
func TestCrashOfAPartStopsTheNode(t *testing.T) {
	client := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(client.Close)
	working := informer.Feeds{Configurations: platform.NewConfigurations(client), Upstreams: platform.NewUpstreams(client), Peers: platform.NewPeers(client)}
	withCrash := working
	withCrash.Upstreams = crashingFeed{}
	cases := []struct {
		part  string
		feeds informer.Feeds
		read  func(monitor.Usage, monitor.Work)
	}{
		{"informer", withCrash, nil},
		{"monitor", working, func(monitor.Usage, monitor.Work) { beyond(nil) }},
	}
	for _, test := range cases {
		t.Run(test.part, func(t *testing.T) {
			recorder := &eventRecorder{events: make(map[int]string)}
			entry := limpetcleat.NewEntry(limpetcleat.EntrySettings{
				VM: "entry", DataCentre: "west", MemoryLimit: 1 << 28, GracePeriod: time.Second, RetryWindow: time.Second, UsageRead: test.read,
			}, platform.Protocol{}, test.feeds, recorder, func(forwarder.Record) {})
			var listeners [3]net.Listener
			for index := range listeners {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				listeners[index] = listener
			}
			err := entry.Run(listeners[0], listeners[1], listeners[2])
			assert.ErrorContains(t, err, test.part)
			assert.ErrorContains(t, err, "index out of range")
			crashed := recorder.events[logger.EventPartCrashed]
			assert.Assert(t, strings.Contains(crashed, "index out of range") && strings.Contains(crashed, "entry_crash_test.go"), crashed)
		})
	}
}
