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

// network carries messages between the throttlers of a test, all in the data centre of the
// upstream.
type network struct {
	t *testing.T
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	nodes map[string]*node
	// dead are the addresses that neither send nor receive.
	dead  map[string]bool
	group conc.WaitGroup
}

type node struct {
	*throttler.Throttler
	network   *network
	vm        definer.VM
	announcer *announcer.Announcer
	outcomes  map[throttler.Outcome]int
}

func newNetwork(t *testing.T, names ...definer.VM) *network {
	t.Helper()
	network := &network{t: t, nodes: make(map[string]*node), dead: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	for _, name := range names {
		node := &node{network: network, vm: name, announcer: announcer.New(), outcomes: make(map[throttler.Outcome]int)}
		node.Throttler = throttler.New(network.peer(name), network, node, node.announcer, throttler.WithCounts(func(outcome throttler.Outcome) {
			network.mutex.Lock()
			defer network.mutex.Unlock()
			node.outcomes[outcome]++
		}))
		network.nodes[string(name)] = node
		node.Start(ctx)
	}
	t.Cleanup(func() {
		cancel()
		network.group.Wait()
		for _, node := range network.nodes {
			<-node.Done()
		}
	})
	return network
}

func (*network) peer(name definer.VM) exchanger.Peer {
	return exchanger.Peer{VM: name, DataCentre: "west", Address: string(name)}
}

// Nodes returns all nodes.
func (network *network) Nodes() (nodes []exchanger.Peer, known bool) {
	for name := range network.nodes {
		nodes = append(nodes, network.peer(definer.VM(name)))
	}
	return nodes, true
}

func (network *network) Reached(time.Time) int { return 1 }

// Send delivers a message to the node at the address, unless one of the two is dead.
func (node *node) Send(_ context.Context, address string, message messenger.Message) {
	node.network.mutex.Lock()
	defer node.network.mutex.Unlock()
	to, known := node.network.nodes[address]
	if !known || node.network.dead[address] || node.network.dead[string(node.vm)] {
		return
	}
	node.network.group.Go(func() { to.Receive(definer.Member{VM: node.vm}, message) })
}

func (network *network) kill(name definer.VM) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.dead[string(name)] = true
}

// learnLimit has the node receive an answer of the upstream with a limit, or with none.
func (node *node) learnLimit(limit definer.RateLimit) {
	now := time.Now()
	node.announcer.Record(now, upstream(), now, announcer.Announcement{Limit: limit})
}

func upstream() definer.UpstreamStart { return definer.UpstreamStart{Upstream: "u"} }

func need(patience time.Duration) throttler.PermitRequest {
	return throttler.PermitRequest{Start: upstream(), DataCentre: "west", Patience: patience}
}

// TestNoLimitNeedsNoPermit checks that no ask is sent for an upstream without a limit.
func TestNoLimitNeedsNoPermit(t *testing.T) {
	network := newNetwork(t, "a", "b")
	for _, node := range network.nodes {
		assert.Assert(t, node.Acquire(t.Context(), need(0)).Granted)
		assert.Equal(t, len(node.outcomes), 0)
	}
}

// TestNodesShareALimit has three nodes ask as often as they can: together they get what one node
// would get, and the node that has not heard of the limit learns it from the first ask of
// another.
func TestNodesShareALimit(t *testing.T) {
	const perSecond, span = 20, 2 * time.Second
	network := newNetwork(t, "a", "b", "c")
	network.nodes["a"].learnLimit(definer.LimitTo(perSecond))
	network.nodes["b"].learnLimit(definer.LimitTo(perSecond))
	until := time.Now().Add(span)
	granted := make(chan struct{}, 1000)
	var askers conc.WaitGroup
	for _, name := range []string{"a", "b"} {
		askers.Go(func() {
			for time.Now().Before(until) {
				permit := network.nodes[name].Acquire(t.Context(), need(50*time.Millisecond))
				if permit.Granted {
					granted <- struct{}{}
					continue
				}
				assert.Check(t, permit.RetryAfter > 0)
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
	network := newNetwork(t, "a", "b", "c")
	for _, node := range network.nodes {
		node.learnLimit(definer.LimitTo(1000))
	}
	asker := network.nodes["a"]
	for _, name := range []definer.VM{"b", "c"} {
		network.kill(name)
	}
	began, granted := time.Now(), 0
	for count := 0; granted == 0 && count < 200; count++ {
		at := time.Now()
		if asker.Acquire(t.Context(), need(0)).Granted {
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
		network := newNetwork(t, "a", "b", "c")
		network.nodes[asker].learnLimit(definer.LimitTo(0.5))
		<-time.After(5 * time.Millisecond)
		for name, node := range network.nodes {
			if name != asker {
				node.learnLimit(definer.LimitTo(0.5))
				<-time.After(5 * time.Millisecond)
				node.learnLimit(definer.RateLimit{})
			}
		}
		if network.nodes[asker].Acquire(t.Context(), need(0)).Granted {
			granted++
			announcement, _ := network.nodes[asker].announcer.Latest(time.Now(), upstream())
			assert.Equal(t, announcement.Limit.String(), "none")
		}
	}
	assert.Equal(t, granted, 2)
}

// TestCallerThatLeavesWaitsNoMore checks that an ask ends with its context.
func TestCallerThatLeavesWaitsNoMore(t *testing.T) {
	network := newNetwork(t, "a", "b", "c")
	for _, node := range network.nodes {
		node.learnLimit(definer.LimitTo(0.3))
	}
	for _, node := range network.nodes {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		at := time.Now()
		assert.Assert(t, !node.Acquire(ctx, need(time.Minute)).Granted)
		assert.Assert(t, time.Since(at) < time.Second)
		cancel()
		assert.Equal(t, node.outcomes[throttler.Withdrawn], 1)
	}
}
