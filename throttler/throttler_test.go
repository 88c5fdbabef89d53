package throttler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/throttler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// net carries messages between the throttlers of a test, all in the data centre of the upstream.
type net struct {
	t *testing.T
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	nodes map[string]*node
	// dead are the addresses that neither send nor receive.
	dead  map[string]bool
	group conc.WaitGroup
}

type node struct {
	*throttler.Throttler
	net       *net
	vm        definer.VM
	announcer *announcer.Announcer
	outcomes  map[throttler.Outcome]int
}

func newNet(t *testing.T, names ...definer.VM) *net {
	t.Helper()
	net := &net{t: t, nodes: make(map[string]*node), dead: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	for _, name := range names {
		node := &node{net: net, vm: name, announcer: announcer.New(), outcomes: make(map[throttler.Outcome]int)}
		node.Throttler = throttler.New(net.peer(name), net, node, node.announcer, throttler.WithCounts(func(outcome throttler.Outcome) {
			net.mutex.Lock()
			defer net.mutex.Unlock()
			node.outcomes[outcome]++
		}))
		net.nodes[string(name)] = node
		node.Start(ctx)
	}
	t.Cleanup(func() {
		cancel()
		net.group.Wait()
		for _, node := range net.nodes {
			<-node.Done()
		}
	})
	return net
}

func (*net) peer(name definer.VM) exchanger.Peer {
	return exchanger.Peer{VM: name, DataCentre: "west", Address: string(name)}
}

// Nodes returns all nodes.
func (net *net) Nodes() (nodes []exchanger.Peer, known bool) {
	for name := range net.nodes {
		nodes = append(nodes, net.peer(definer.VM(name)))
	}
	return nodes, true
}

// Send delivers a message to the node at the address, unless one of the two is dead.
func (node *node) Send(_ context.Context, address string, message messenger.Message) {
	node.net.mutex.Lock()
	defer node.net.mutex.Unlock()
	to, known := node.net.nodes[address]
	if !known || node.net.dead[address] || node.net.dead[string(node.vm)] {
		return
	}
	node.net.group.Go(func() { to.Receive(definer.Member{VM: node.vm}, message) })
}

func (net *net) kill(name definer.VM) {
	net.mutex.Lock()
	defer net.mutex.Unlock()
	net.dead[string(name)] = true
}

// hear has the node receive an answer of the upstream with a limit, or with none.
func (node *node) hear(limit definer.RateLimit) {
	now := time.Now()
	node.announcer.Hear(now, upstream(), now, announcer.Announcement{Limit: limit})
}

func upstream() definer.UpstreamStart { return definer.UpstreamStart{Upstream: "u"} }

func need(patience time.Duration) throttler.Need {
	return throttler.Need{Start: upstream(), DataCentre: "west", Patience: patience}
}

// TestNoLimitNeedsNoPermit checks that no ask is sent for an upstream without a limit.
func TestNoLimitNeedsNoPermit(t *testing.T) {
	net := newNet(t, "a", "b")
	for _, node := range net.nodes {
		assert.Assert(t, node.Take(t.Context(), need(0)).Granted)
		assert.Equal(t, len(node.outcomes), 0)
	}
}

// TestNodesShareALimit has three nodes ask as often as they can: together they get what one node
// would get, and the node that has not heard of the limit learns it from the first ask of
// another.
func TestNodesShareALimit(t *testing.T) {
	const perSecond, span = 20, 2 * time.Second
	net := newNet(t, "a", "b", "c")
	net.nodes["a"].hear(definer.LimitTo(perSecond))
	net.nodes["b"].hear(definer.LimitTo(perSecond))
	until := time.Now().Add(span)
	granted := make(chan struct{}, 1000)
	var askers conc.WaitGroup
	for _, name := range []string{"a", "b"} {
		askers.Go(func() {
			for time.Now().Before(until) {
				permit := net.nodes[name].Take(t.Context(), need(50*time.Millisecond))
				if permit.Granted {
					granted <- struct{}{}
					continue
				}
				assert.Check(t, permit.After > 0)
				<-time.After(10 * time.Millisecond)
			}
		})
	}
	askers.Wait()
	// A node that starts to issue permits issues a third of the limit for 3 s.
	assert.Assert(t, len(granted) >= perSecond/3 && len(granted) <= 2*perSecond+5, "%d permits", len(granted))
}

// TestSilentIssuerIsPassedOver has the issuing node end: another node takes its place, and no
// request waits longer than the answer timeout.
func TestSilentIssuerIsPassedOver(t *testing.T) {
	net := newNet(t, "a", "b", "c")
	for _, node := range net.nodes {
		node.hear(definer.LimitTo(1000))
	}
	asker := net.nodes["a"]
	for _, name := range []definer.VM{"b", "c"} {
		net.kill(name)
	}
	began, granted := time.Now(), 0
	for count := 0; granted == 0 && count < 200; count++ {
		at := time.Now()
		if asker.Take(t.Context(), need(0)).Granted {
			granted++
		}
		assert.Assert(t, time.Since(at) < time.Second, "%v", time.Since(at))
		<-time.After(5 * time.Millisecond)
	}
	assert.Assert(t, granted > 0, "no permit within %v", time.Since(began))
	assert.Assert(t, asker.outcomes[throttler.Unanswered] <= 2, "%v", asker.outcomes)
}

// TestLimitThatIsOverNeedsNoPermit checks that an asking node learns from the issuer that the
// limit has ended; only the issuer itself, which is asked by itself, does not learn it.
func TestLimitThatIsOverNeedsNoPermit(t *testing.T) {
	granted := 0
	for _, asker := range []string{"a", "b", "c"} {
		net := newNet(t, "a", "b", "c")
		net.nodes[asker].hear(definer.LimitTo(0.5))
		<-time.After(5 * time.Millisecond)
		for name, node := range net.nodes {
			if name != asker {
				node.hear(definer.LimitTo(0.5))
				<-time.After(5 * time.Millisecond)
				node.hear(definer.RateLimit{})
			}
		}
		if net.nodes[asker].Take(t.Context(), need(0)).Granted {
			granted++
			announcement, _ := net.nodes[asker].announcer.Of(time.Now(), upstream())
			assert.Equal(t, announcement.Limit.String(), "none")
		}
	}
	assert.Equal(t, granted, 2)
}

// TestCallerThatLeavesWaitsNoMore checks that an ask ends with its context.
func TestCallerThatLeavesWaitsNoMore(t *testing.T) {
	net := newNet(t, "a", "b", "c")
	for _, node := range net.nodes {
		node.hear(definer.LimitTo(0.3))
	}
	for _, node := range net.nodes {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		at := time.Now()
		assert.Assert(t, !node.Take(ctx, need(time.Minute)).Granted)
		assert.Assert(t, time.Since(at) < time.Second)
		cancel()
		assert.Equal(t, node.outcomes[throttler.Withdrawn], 1)
	}
}
