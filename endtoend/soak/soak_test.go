package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
)

const (
	// soakVariable has the seed, the length and the number of nodes, such as "7 40s 8".
	soakVariable = "LIMPETCLEAT_SOAK"
	// leavingBound is drain_ms of the nodes' settings, calmTime the time after which a disturbance is over.
	leavingBound = 2 * time.Second
	calmTime     = 3 * time.Second
	// watchLag is for how long watches lag.
	watchLag = time.Second
	// living is the number of upstreams at any time.
	living = 8
	// callInterval is the time between two requests to a node.
	callInterval = 40 * time.Millisecond
)

// play is one play of drawn faults, and what broke in it.
type play struct {
	t     *testing.T
	fleet *tester.Fleet
	began time.Time
	ways  map[string]*store.Way
	link  *store.Link
	count atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// beatAt has when a heartbeat of each upstream was last executed, states what its entry says.
	beatAt   map[string]time.Time
	states   map[string]string
	startsAt map[string]time.Time
	// silentUntil is when the last silence of the store for all nodes ends.
	silentUntil time.Time
	served      int
	refused     int
	broken      []string
}

func (play *play) logf(format string, arguments ...any) {
	play.t.Logf("%6.2f "+format, append([]any{time.Since(play.began).Seconds()}, arguments...)...)
}

// check records a request that reached an upstream which has left, from a node in touch with the store.
func (play *play) check(upstream, node string, leftAt time.Time) {
	now := time.Now()
	play.mutex.Lock()
	defer play.mutex.Unlock()
	boundBegins := leftAt
	if play.silentUntil.After(leftAt) {
		boundBegins = play.silentUntil
	}
	if leftAt.IsZero() || now.Sub(boundBegins) <= leavingBound {
		return
	}
	calmSince, calm := play.ways[node].CalmSince()
	since := play.startsAt[node]
	if calmSince.After(since) {
		since = calmSince
	}
	if calm && now.Sub(since) > calmTime {
		play.broken = append(play.broken, fmt.Sprintf("%.2f s: %s reached from %s %v after it left", now.Sub(play.began).Seconds(), upstream, node, now.Sub(leftAt)))
	}
}

// expire removes the entries whose last heartbeat is too long ago, as the store does.
func (play *play) expire() {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	for name, at := range play.beatAt {
		if time.Since(at) > expiry {
			play.fleet.Store.Remove("servers", name)
			delete(play.beatAt, name)
		}
	}
}

// call calls a node until the context ends.
func (play *play) call(ctx context.Context, node *tester.Node) {
	client := tester.NewClient(play.t)
	for ctx.Err() == nil {
		reply := client.Send(node.Request("/book/"))
		play.mutex.Lock()
		switch reply.Status {
		case http.StatusOK:
			play.served++
		case http.StatusServiceUnavailable:
			play.refused++
		}
		play.mutex.Unlock()
		pause(ctx, callInterval)
	}
}

// keepUpstreams keeps the number of living upstreams: a new one starts when one has ended.
func (play *play) keepUpstreams(ctx context.Context, random *rand.Rand) *conc.WaitGroup {
	var group conc.WaitGroup
	for range living {
		drawn := rand.New(rand.NewPCG(random.Uint64(), 0))
		group.Go(func() {
			for ctx.Err() == nil {
				play.startUpstream(drawn).live(ctx, drawn)
			}
		})
	}
	return &group
}

// disturb draws faults of the ways of at most a third of the nodes, and drops the store's history, until the context ends.
func (play *play) disturb(ctx context.Context, random *rand.Rand, names []string) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(300+random.IntN(2500))*time.Millisecond)
		if random.IntN(6) == 0 {
			play.logf("history dropped")
			play.fleet.Store.Compact()
			continue
		}
		faulty := 0
		for _, way := range play.ways {
			if _, calm := way.CalmSince(); !calm {
				faulty++
			}
		}
		name := names[random.IntN(len(names))]
		if _, calm := play.ways[name].CalmSince(); calm && faulty < len(names)/3 {
			play.logf("%s: %s", name, play.ways[name].DrawFault(random))
		}
	}
}

// lag makes the watches on drawn kinds of entries return nothing new for a second, after which the history may be dropped,
// until the context ends. Nodes stay in touch.
func (play *play) lag(ctx context.Context, random *rand.Rand) {
	kinds := [][]string{{"servers"}, {"config"}, {"servers", "config", "limpetcleat-nodes", "limpetcleat-versions", "evacuations"}}
	for ctx.Err() == nil {
		pause(ctx, time.Duration(1500+random.IntN(5000))*time.Millisecond)
		lagging, drops := kinds[random.IntN(len(kinds))], random.IntN(2) == 0
		play.logf("watches on %v lag, history dropped: %t", lagging, drops)
		play.fleet.Store.LagWatches(watchLag, lagging...)
		pause(ctx, watchLag)
		if drops {
			play.fleet.Store.Compact()
		}
	}
}

// beSilent makes the store answer nobody for drawn times that are too short for an entry to lapse, until the context ends.
// Nodes stay in touch.
func (play *play) beSilent(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(2000+random.IntN(6000))*time.Millisecond)
		lasts := time.Duration(300+random.IntN(1500)) * time.Millisecond
		play.logf("store silent for %v", lasts)
		play.mutex.Lock()
		play.silentUntil = time.Now().Add(lasts)
		play.mutex.Unlock()
		play.link.BeSilent(lasts)
		pause(ctx, lasts)
	}
}

// parsePlay returns the seed, the length and the number of nodes of a play, as soakVariable has them.
func parsePlay(t *testing.T, drawn string) (seed uint64, span time.Duration, nodes int) {
	t.Helper()
	var length string
	_, err := fmt.Sscan(drawn, &seed, &length, &nodes)
	assert.NilError(t, err)
	span, err = time.ParseDuration(length)
	assert.NilError(t, err)
	return seed, span, nodes
}

// TestSoak plays drawn faults and checks that no upstream gets a request from a node in touch later than the bound after it
// has left. It plays what soakVariable says, and nothing without it: its marks are times of this machine.
func TestSoak(t *testing.T) {
	drawn := os.Getenv(soakVariable)
	if drawn == "" {
		t.Skipf("%s has no seed, length and number of nodes", soakVariable)
	}
	seed, span, nodes := parsePlay(t, drawn)
	random := rand.New(rand.NewPCG(seed, 0))
	play := &play{
		t: t, fleet: tester.NewFleet(t), began: time.Now(), ways: make(map[string]*store.Way),
		link: store.NewLink(0), beatAt: make(map[string]time.Time), states: make(map[string]string), startsAt: make(map[string]time.Time),
	}
	play.fleet.DutyBoundSettings = ", drain_ms: 2000, config_apply_ms: 2000"
	play.fleet.ServiceFields = map[string]any{"health_path": healthPath}
	play.fleet.Configure(tester.UnsafeRule("/book/"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	upstreams := play.keepUpstreams(ctx, random)
	names, running := play.startNodes(nodes)
	var group conc.WaitGroup
	for _, node := range running {
		group.Go(func() { play.call(ctx, node) })
	}
	group.Go(func() { play.disturb(ctx, random, names) })
	group.Go(func() { play.beSilent(ctx, rand.New(rand.NewPCG(seed, 1))) })
	group.Go(func() { play.lag(ctx, rand.New(rand.NewPCG(seed, 2))) })
	group.Go(func() {
		for ctx.Err() == nil {
			play.expire()
			pause(ctx, 50*time.Millisecond)
		}
	})
	pause(ctx, span)
	cancel()
	group.Wait()
	upstreams.Wait()
	t.Logf("seed %d: %d upstreams, %d served, %d refused, %d broken", seed, play.count.Load(), play.served, play.refused, len(play.broken))
	for _, line := range play.broken {
		t.Error(line)
	}
	assert.Check(t, play.served > 0)
}

// startNodes starts nodes in three data centres, each with a way of its own to the store, and waits until they are ready.
func (play *play) startNodes(count int) (names []string, nodes []*tester.Node) {
	for number := range count {
		name := fmt.Sprintf("entry-%d", number)
		play.ways[name] = store.NewWay(play.fleet.Store)
		names = append(names, name)
	}
	for number, name := range names {
		play.startsAt[name] = time.Now()
		dataCentre := []string{tester.West, tester.East, "south"}[number%3]
		nodes = append(nodes, play.fleet.StartNodeWithStore(dataCentre, name, play.fleet.StartUnlisted(play.link.Wrap(play.ways[name]).ServeHTTP).Listener.Addr().String()))
	}
	for _, node := range nodes {
		node.AwaitReady()
	}
	return names, nodes
}
