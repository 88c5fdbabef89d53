package orderer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// holder returns the one process that believes that it holds the lease.
func (world *world) holder(t *testing.T) *process {
	t.Helper()
	var holder *process
	for _, node := range world.nodes {
		if node.holds() && !node.dead {
			assert.Assert(t, holder == nil, "two holders")
			holder = node
		}
	}
	assert.Assert(t, holder != nil, "no holder")
	return holder
}

func TestWantedStateIsReached(t *testing.T) {
	cases := []struct {
		name    string
		held    State
		wanted  definer.UpstreamDocument
		fault   func(*runner)
		within  time.Duration
		state   State
		changes int
	}{
		{name: "as wanted", held: State{Models: []string{"m"}, Role: "decode"}, wanted: wanted("e", "decode", "m"), within: 5 * time.Second, state: State{Models: []string{"m"}, Role: "decode"}},
		{name: "load", wanted: wanted("e", "", "m", "n"), within: 5 * time.Second, state: State{Models: []string{"m", "n"}}, changes: 2},
		{name: "role", held: State{Models: []string{"x"}}, wanted: wanted("e", "prefill"), within: 5 * time.Second, state: State{Models: []string{"x"}, Role: "prefill"}, changes: 1},
		{name: "no unload at once", held: State{Models: []string{"old"}}, wanted: wanted("e", "", "new"), within: 29 * time.Second, state: State{Models: []string{"old", "new"}}, changes: 1},
		{name: "unload later", held: State{Models: []string{"old"}}, wanted: wanted("e", "", "new"), within: 40 * time.Second, state: State{Models: []string{"new"}}, changes: 2},
		{name: "slow load is ordered once", wanted: wanted("e", "", "m"), fault: func(r *runner) { r.loadTime = 100 * time.Second }, within: 110 * time.Second, state: State{Models: []string{"m"}}, changes: 1},
		{name: "stuck load is ordered again", wanted: wanted("e", "", "m"), fault: func(r *runner) { r.loadTime = 4 * time.Minute }, within: 5 * time.Minute, state: State{Models: []string{"m"}}, changes: 2},
		{name: "refused", wanted: wanted("e", "", "m"), fault: func(r *runner) { r.refusals = 3 }, within: time.Minute, state: State{Models: []string{"m"}}, changes: 1},
		{name: "dead", wanted: wanted("e", "", "m"), fault: func(r *runner) { r.dead = true }, within: time.Minute},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newWorld(1, DefaultTiming(), 1, 1)
			world.engines["e"] = &runner{state: test.held}
			if test.fault != nil {
				test.fault(world.engines["e"])
			}
			world.want(1, upstreams(t, test.wanted))
			world.Run(test.within)
			assert.DeepEqual(t, world.engines["e"].state, test.state)
			assert.Equal(t, world.engines["e"].changes, test.changes)
			status := world.holder(t).orderer.Status(world.Now())
			assert.Equal(t, status.Fulfilled+len(status.Differing), 1)
		})
	}
}

// TestLoadsAreBounded has twelve engines load from one weight store, through a
// change of the holder.
func TestLoadsAreBounded(t *testing.T) {
	world := newWorld(1, DefaultTiming(), 1, 1)
	var documents []definer.UpstreamDocument
	for index := range 12 {
		documents = append(documents, wanted(fmt.Sprintf("e%02d", index), "", "m"))
	}
	world.want(1, upstreams(t, documents...))
	most := func() int {
		most := 0
		for _, runner := range world.engines {
			runner.loadTime = 20 * time.Second
			most = max(most, runner.mostLoading)
		}
		return most
	}
	most()
	world.Run(50 * time.Second)
	assert.Equal(t, most(), DefaultLoads)
	world.holder(t).dead = true
	world.Run(4 * time.Minute)
	assert.Assert(t, most() <= 2*DefaultLoads, "%d", most())
	for name, runner := range world.engines {
		assert.DeepEqual(t, runner.state.Models, []string{"m"})
		assert.Assert(t, runner.loads <= 2, "%s", name)
	}
}

// TestHolderPaused freezes the holder for longer than its lease while it is
// about to carry out an older configuration; the next holder has a newer one.
func TestHolderPaused(t *testing.T) {
	const pause = time.Minute
	cases := []struct {
		name   string
		checks bool
		// wire is how long the old order is under way after the last check.
		wire time.Duration
		// freeze stops the process with the order decided, but not sent.
		freeze bool
		// backwards is how many old orders may be taken after newer ones.
		backwards int
	}{
		{name: "frozen before the check, no fencing", freeze: true},
		{name: "frozen before the check, fencing", freeze: true, checks: true},
		{name: "frozen after the check, fencing", wire: pause, checks: true},
		{name: "frozen after the check, no fencing", wire: pause, backwards: 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newWorld(1, DefaultTiming(), 1, 1)
			document := func(role string) []*definer.Upstream {
				document := wanted("e", role)
				document.ChecksFencing = test.checks
				return upstreams(t, document)
			}
			world.want(1, document("first"))
			world.Run(20 * time.Second)
			old := world.holder(t)
			world.onSend = func(node *process, order Order) {
				if node == old && order.Role == "old" && test.freeze {
					old.frozen = world.Now().Add(pause)
				}
			}
			world.onWire = func(node *process, order Order) time.Duration {
				if node == old && order.Role == "old" && test.wire > 0 {
					old.frozen = world.Now().Add(pause)
					return test.wire
				}
				return time.Millisecond
			}
			old.enter(func(now time.Time) { old.orderer.SetWanted(now, 2, document("old"), 0) })
			for old.frozen.IsZero() {
				world.Run(10 * time.Millisecond)
			}
			for _, node := range world.nodes {
				if node != old {
					node.enter(func(now time.Time) { node.orderer.SetWanted(now, 3, document("new"), 0) })
				}
			}
			world.Run(pause - 5*time.Second)
			assert.Assert(t, world.holder(t) != old)
			assert.Equal(t, world.engines["e"].state.Role, "new")
			var wrong time.Duration
			for range 1200 {
				world.Run(100 * time.Millisecond)
				if world.engines["e"].state.Role != "new" {
					wrong += 100 * time.Millisecond
				}
			}
			t.Logf("%d old orders taken after newer ones; %v in the old state", world.backwards, wrong)
			assert.Equal(t, world.backwards, test.backwards)
			assert.Equal(t, world.overlaps, 0)
			// Mended at the next reading, and not at all wrong without a late order.
			assert.Assert(t, wrong <= time.Duration(test.backwards)*(readEvery+2*time.Second), "%v", wrong)
			assert.Equal(t, world.engines["e"].state.Role, "new")
		})
	}
}

func TestLeaseWrites(t *testing.T) {
	cases := []struct {
		name string
		fate writeFate
	}{
		{"lost, took effect", writeFate{effect: true, lost: true}},
		{"lost without effect", writeFate{lost: true}},
		{"lost, takes effect later", writeFate{effect: true, late: 400 * time.Millisecond}},
		{"lost, takes effect after the lease", writeFate{effect: true, late: 40 * time.Second}},
	}
	for _, test := range cases {
		for _, failing := range []int{1, 2, 7} {
			t.Run(fmt.Sprintf("%s, write %d", test.name, failing), func(t *testing.T) {
				world := newWorld(1, DefaultTiming(), 1, 1)
				count := 0
				world.onWrite = func(*process) writeFate {
					if count++; count == failing {
						return test.fate
					}
					return writeFate{effect: true}
				}
				world.want(1, upstreams(t, wanted("e", "r", "m")))
				for range 100 {
					world.Run(time.Second)
					held := slices.IndexFunc(world.nodes, func(node *process) bool { return node.holds() })
					assert.Assert(t, world.Now().Sub(world.begin) < 3*time.Second || held >= 0, "nobody holds the lease at %v", world.Now().Sub(world.begin))
				}
				assert.Equal(t, world.overlaps, 0)
				assert.DeepEqual(t, world.engines["e"].state, State{Models: []string{"m"}, Role: "r"})
			})
		}
	}
}

// TestOutage takes the platform away while engines are read all the time: nothing
// is sent any more once the lease is about to end.
func TestOutage(t *testing.T) {
	world := newWorld(1, DefaultTiming(), 1, 1)
	var documents []definer.UpstreamDocument
	for index := range 100 {
		documents = append(documents, wanted(fmt.Sprintf("e%d", index), "r"))
	}
	world.want(1, upstreams(t, documents...))
	world.Run(2 * time.Minute)
	holder := world.holder(t)
	world.away = true
	began := world.Now()
	world.Run(10 * time.Minute)
	last := holder.sent[len(holder.sent)-1].Sub(began)
	t.Logf("last order %v after the outage began", last)
	assert.Assert(t, last > 0)
	assert.Assert(t, last <= DefaultTiming().Duration-DefaultTiming().Margin-DefaultTiming().OrderTimeout)
	assert.Assert(t, !holder.holds())
	assert.Assert(t, world.calls < 10*60, "%d calls", world.calls)
	world.away = false
	world.Run(30 * time.Second)
	assert.Assert(t, world.Now().Sub(world.holder(t).sent[len(world.holder(t).sent)-1]) < 31*time.Second)
}

// race drives three processes with clocks at the ends of the bound through
// pauses, outages and lost and late writes, and returns what went wrong.
func race(t *testing.T, seed uint64, timing Timing) (overlaps, backwards, holders int) {
	world := newWorld(seed, timing, 0.95, 1.05, 1)
	world.onWrite = func(*process) writeFate {
		switch world.random.IntN(8) {
		case 0:
			return writeFate{effect: true, lost: true}
		case 1:
			return writeFate{lost: true}
		case 2:
			return writeFate{effect: true, late: time.Duration(world.random.IntN(30_000)) * time.Millisecond}
		default:
			return writeFate{effect: true}
		}
	}
	world.onWire = func(*process, Order) time.Duration { return time.Duration(world.random.IntN(2_000)) * time.Millisecond }
	plain, checking := wanted("plain", "r"), wanted("checking", "r")
	checking.ChecksFencing = true
	// Many engines keep the holder reading up to its lease's end.
	engines := []definer.UpstreamDocument{plain, checking}
	for index := range 30 {
		engines = append(engines, wanted(fmt.Sprintf("e%d", index), "r"))
	}
	world.want(1, upstreams(t, engines...))
	taken := make(map[*process]bool)
	for step := range 120 {
		world.Run(time.Duration(world.random.IntN(8_000)) * time.Millisecond)
		node := world.nodes[world.random.IntN(3)]
		switch world.random.IntN(4) {
		case 0:
			node.frozen = world.Now().Add(time.Duration(world.random.IntN(40_000)) * time.Millisecond)
		case 1:
			world.away = !world.away
		case 2:
			node.cut = !node.cut
		default:
			world.away = false
			// A state that is never reached keeps orders going.
			role := fmt.Sprintf("r%d", step)
			plain.Wanted.Role, checking.Wanted.Role = role, role
			world.want(uint64(step+2), upstreams(t, engines...))
		}
		for _, node := range world.nodes {
			if node.holds() {
				taken[node] = true
			}
		}
	}
	return world.overlaps, world.backwards, len(taken)
}

func TestNoTwoHoldersOrderAtOnce(t *testing.T) {
	short := DefaultTiming()
	short.Takeover = 10 * time.Second
	greedy := DefaultTiming()
	greedy.Margin = -greedy.OrderTimeout
	cases := []struct {
		name   string
		timing Timing
		holds  bool
	}{
		{"default", DefaultTiming(), true},
		{"takeover before the lease's end", short, false},
		{"orders past the lease's end", greedy, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			overlaps, backwards, holders := 0, 0, 0
			for seed := range uint64(60) {
				over, back, took := race(t, seed, test.timing)
				overlaps, backwards, holders = overlaps+over, backwards+back, holders+took
			}
			t.Logf("%d overlaps, %d backwards, %d holders in 60 runs", overlaps, backwards, holders)
			assert.Equal(t, overlaps == 0, test.holds)
			assert.Assert(t, !test.holds || backwards == 0)
			assert.Assert(t, holders > 100)
		})
	}
}

func TestStopHandsOver(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		world := newWorld(1, DefaultTiming(), 1, 1)
		world.engines["e"] = &runner{deaf: unanswered}
		world.want(1, upstreams(t, wanted("e", "r")))
		world.Run(10 * time.Second)
		old := world.holder(t)
		old.enter(old.orderer.Stop)
		old.dead = unanswered
		world.Run(7 * time.Second)
		fresh := slices.ContainsFunc(world.nodes, func(node *process) bool { return node != old && node.holds() })
		assert.Equal(t, fresh, !unanswered)
		world.Run(20 * time.Second)
		assert.Assert(t, world.holder(t) != old)
		assert.Equal(t, world.overlaps, 0)
	}
}

// TestOldFencing has an engine that took a number from elsewhere: its refusals
// cost other engines nothing but a renewal each.
func TestOldFencing(t *testing.T) {
	world := newWorld(1, DefaultTiming(), 1)
	world.engines["e"] = &runner{checks: true, fence: 1 << 40}
	world.want(1, upstreams(t, wanted("e", "r"), wanted("f", "r")))
	world.Run(10 * time.Minute)
	assert.Equal(t, world.engines["e"].state.Role, "")
	assert.Equal(t, world.engines["f"].state.Role, "r")
	assert.Assert(t, world.calls < 200, "%d calls", world.calls)
}

// TestPlatformRate counts calls in a minute: they do not grow with the engines,
// and there are none without a wanted state.
func TestPlatformRate(t *testing.T) {
	for _, engines := range []int{0, 1, 400} {
		world := newWorld(1, DefaultTiming(), 1, 1)
		var documents []definer.UpstreamDocument
		for index := range engines {
			documents = append(documents, wanted(fmt.Sprintf("e%03d", index), "r"))
		}
		world.want(1, upstreams(t, documents...))
		world.Run(5 * time.Minute)
		calls := world.calls
		world.Run(time.Minute)
		t.Logf("%d engines: %d calls a minute", engines, world.calls-calls)
		assert.Assert(t, world.calls-calls <= min(engines, 1)*30, "%d calls", world.calls-calls)
		if engines > 0 {
			assert.Equal(t, world.holder(t).orderer.Status(world.Now()).Fulfilled, engines)
		}
	}
}

// TestConfigurationNeverGoesBack has a process with an older configuration wait
// rather than undo what the holder before did.
func TestConfigurationNeverGoesBack(t *testing.T) {
	world := newWorld(1, DefaultTiming(), 1, 1)
	world.want(5, upstreams(t, wanted("e", "new")))
	world.Run(10 * time.Second)
	old := world.holder(t)
	other := world.nodes[1-slices.Index(world.nodes, old)]
	old.enter(func(now time.Time) { old.orderer.SetWanted(now, 6, upstreams(t, wanted("e", "newer")), 0) })
	world.Run(10 * time.Second)
	old.dead = true
	world.Run(2 * time.Minute)
	assert.Assert(t, !other.holds())
	assert.Equal(t, world.engines["e"].state.Role, "newer")
	other.enter(func(now time.Time) { other.orderer.SetWanted(now, 7, upstreams(t, wanted("e", "newest")), 0) })
	world.Run(10 * time.Second)
	assert.Equal(t, world.engines["e"].state.Role, "newest")
}

// TestLateOrderOfTheSameHolder has an order go unanswered and arrive late, after
// another of the same holder, with and without a change of what is wanted.
func TestLateOrderOfTheSameHolder(t *testing.T) {
	// A renewal that comes late leaves time for a second order of its number.
	timing := DefaultTiming()
	timing.Renewal = 8 * time.Second
	for _, changed := range []bool{false, true} {
		world := newWorld(1, timing, 1, 1)
		document := wanted("e", "old")
		document.ChecksFencing = true
		var late Order
		world.onWire = func(_ *process, order Order) time.Duration {
			if late.Number == 0 && order.Act == SetRole {
				late = order
				return 20 * time.Second
			}
			return time.Millisecond
		}
		world.want(1, upstreams(t, document))
		for late.Number == 0 {
			world.Run(10 * time.Millisecond)
		}
		if changed {
			document = wanted("e", "new")
			document.ChecksFencing = true
			world.want(2, upstreams(t, document))
		}
		world.Run(15 * time.Second)
		assert.Equal(t, world.engines["e"].state.Role, document.Wanted.Role)
		assert.Assert(t, world.engines["e"].fence > late.Fencing, "the late order could still be taken")
		world.Run(10 * time.Second)
		assert.Equal(t, world.engines["e"].changes, 1)
	}
}
