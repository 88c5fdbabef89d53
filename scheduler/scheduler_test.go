package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// bench is a scheduler with hands on it.
type bench struct {
	*Scheduler
	now     time.Time
	classes map[definer.ClassName]*definer.Class
	asked   int
}

func newBench(t *testing.T, setting setting, options ...Option) *bench {
	pool, classes := setting.build(t)
	bench := &bench{
		Scheduler: New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1"}, append(options, WithPool(pool))...),
		now:       start(), classes: make(map[definer.ClassName]*definer.Class),
	}
	for _, class := range classes {
		bench.classes[class.Name()] = class
	}
	bench.Configure(bench.now, pool.Upstreams(), classes)
	return bench
}

// ask asks for a class and returns what was decided of all.
func (bench *bench) ask(class definer.ClassName, change func(*Ask)) []Decision {
	bench.asked++
	bench.now = bench.now.Add(time.Millisecond)
	ask := Ask{
		Request: definer.RequestID(fmt.Sprint("r", bench.asked)), Class: bench.classes[class], Organisation: "o", Weight: 1,
		Entry: definer.Member{VM: "vm1"}, Arrival: bench.now, OutputTokens: 100,
	}
	if change != nil {
		change(&ask)
	}
	return bench.Ask(bench.now, ask)
}

// fill grants as many asks of the class and returns the grants.
func (bench *bench) fill(t *testing.T, class definer.ClassName, count int) []definer.GrantID {
	var grants []definer.GrantID
	for range count {
		decisions := bench.ask(class, nil)
		assert.Equal(t, len(decisions), 1)
		assert.Assert(t, decisions[0].Granted())
		grants = append(grants, decisions[0].Grant)
	}
	return grants
}

// train lets the scheduler observe what a slot does: 100 tokens a second.
func (bench *bench) train(t *testing.T) {
	for range 20 {
		grant := bench.fill(t, "digest", 1)[0]
		bench.now = bench.now.Add(time.Second)
		bench.Release(bench.now, grant, messenger.Observation{Tokens: 100, Total: time.Second})
	}
}

func TestProtectedShareIsKeptForProtectedClasses(t *testing.T) {
	for _, test := range []struct {
		name     string
		setting  setting
		ordinary int
	}{
		{"none", setting{upstreams: 2, slots: 5}, 10},
		{"a fifth", setting{upstreams: 2, slots: 5, share: 0.2}, 8},
		{"rounded up once, not for each", setting{upstreams: 4, slots: 5, share: 0.11}, 17},
		{"never the last slot of an upstream", setting{upstreams: 2, slots: 1, share: 0.5}, 2},
		{"all", setting{upstreams: 2, slots: 2, share: 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t, test.setting)
			for range 40 {
				bench.ask("draft", nil)
			}
			assert.Equal(t, bench.Running(), test.ordinary)
			bench.fill(t, "confirm", test.setting.upstreams*test.setting.slots-test.ordinary)
		})
	}
}

func TestTheYoungestLowerWorkIsPausedAndComesBackFirst(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 3})
	grants := bench.fill(t, "proposal", 3)
	urgent := bench.fill(t, "confirm", 1)[0]
	assert.Assert(t, bench.grants[grants[2]].paused)
	assert.Equal(t, bench.Paused(), 1)
	assert.Equal(t, bench.Running(), 4)
	assert.Equal(t, len(bench.ask("proposal", nil)), 0)
	assert.Equal(t, len(bench.Release(bench.now, urgent, messenger.Observation{})), 0)
	assert.Assert(t, !bench.grants[grants[2]].paused, "the paused grant comes back before new lower work")
	assert.Equal(t, bench.Waiting(), 1)
}

func TestHigherClassesLeaveLowerOnesTheirFloor(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 20})
	bench.fill(t, "digest", 20)
	for range 40 {
		bench.ask("counter", nil)
	}
	assert.Equal(t, bench.classNamed("digest").active, 2, "unprotected classes leave the floor")
	for range 40 {
		bench.ask("confirm", nil)
	}
	assert.Equal(t, bench.classNamed("digest").active, 0, "protected classes may take all")
}

func (bench *bench) classNamed(name definer.ClassName) *class { return bench.Scheduler.classes[name] }

func TestHopelessAsksAreRefusedAtOnce(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 1})
	bench.train(t)
	bench.fill(t, "draft", 1)
	var refused Decision
	queued := 0
	for refused.Reason == "" {
		decisions := bench.ask("draft", nil)
		if len(decisions) > 0 {
			refused = decisions[0]
			continue
		}
		queued++
	}
	assert.Equal(t, refused.Reason, messenger.QueueFull)
	assert.Equal(t, queued, 3, "a target of 3 s is three answers of 1 s")
	assert.Assert(t, refused.RetryAfter >= time.Second && refused.RetryAfter < 10*time.Second, refused.RetryAfter)
	assert.Assert(t, bench.ExpectedWait(bench.now, bench.classes["draft"]) > time.Second)
	assert.Equal(t, bench.ExpectedWait(bench.now, bench.classes["confirm"]) > bench.ExpectedWait(bench.now, bench.classes["draft"]), false)

	soon := bench.ask("digest", func(ask *Ask) { ask.Deadline = ask.Arrival.Add(time.Second) })
	assert.Equal(t, len(soon), 0, "the first in line of a class that gets nothing may hope")
	soon = bench.ask("digest", func(ask *Ask) { ask.Deadline = ask.Arrival.Add(time.Second) })
	assert.Equal(t, soon[0].Reason, messenger.DeadlineMissed)
}

func TestFullQueueShedsTheLowestTierFirst(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 1}, WithLongestQueue(2))
	bench.fill(t, "draft", 1)
	bench.ask("proposal", nil)
	bench.ask("digest", nil)
	shed := bench.ask("counter", nil)
	assert.Equal(t, shed[0].Reason, messenger.Shed)
	assert.Equal(t, shed[0].Ask.Class.Name(), definer.ClassName("digest"))
	shed = bench.ask("confirm", nil)
	assert.Equal(t, shed[0].Ask.Class.Name(), definer.ClassName("proposal"))
	full := bench.ask("digest", nil)
	assert.Equal(t, full[0].Reason, messenger.QueueFull)
	assert.Equal(t, full[0].Ask.Class.Name(), definer.ClassName("digest"))
}

func TestAsksThatFitNoFreeUpstreamBlockNobody(t *testing.T) {
	bench := newBench(t, setting{upstreams: 2, slots: 1})
	// runner01 alone has the large model.
	large := func(ask *Ask) { ask.Model = "large" }
	first := bench.ask("draft", large)
	assert.Equal(t, first[0].Upstream, definer.UpstreamName("runner01"))
	assert.Equal(t, len(bench.ask("counter", large)), 0)
	assert.Equal(t, bench.ask("draft", nil)[0].Upstream, definer.UpstreamName("runner00"))
	assert.Equal(t, bench.ask("draft", func(ask *Ask) { ask.Model = "none" })[0].Reason, messenger.NoUpstream)
	all := func(ask *Ask) { ask.Exclude = []definer.UpstreamName{"runner01", "runner00"} }
	assert.Equal(t, bench.ask("draft", all)[0].Reason, messenger.NoUpstream)
	released := bench.Release(bench.now, first[0].Grant, messenger.Observation{})
	assert.Equal(t, released[0].Ask.Class.Name(), definer.ClassName("counter"))
}

func TestTheSameAskAgainKeepsItsPlaceAndItsGrant(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 1})
	again := func(ask *Ask) { ask.Request = "again" }
	first := bench.ask("draft", again)
	assert.Equal(t, bench.ask("draft", again)[0].Grant, first[0].Grant)
	assert.Equal(t, bench.Running(), 1)
	bench.ask("draft", func(ask *Ask) { ask.Request = "second" })
	bench.ask("draft", func(ask *Ask) { ask.Request = "third" })
	bench.ask("draft", func(ask *Ask) { ask.Request = "second" })
	assert.Equal(t, bench.Waiting(), 2)
	next := bench.Release(bench.now, first[0].Grant, messenger.Observation{})
	assert.Equal(t, next[0].Ask.Request, definer.RequestID("second"))
}

func TestPrefixesGoToTheSameUpstreamWhileLoadAllows(t *testing.T) {
	for _, affinity := range []bool{true, false} {
		bench := newBench(t, setting{upstreams: 8, slots: 8, affinity: affinity})
		hits, home := 0, make(map[uint64]definer.UpstreamName)
		var running []definer.GrantID
		for index := range 300 {
			prefix := uint64(1 + index%6)
			granted := bench.ask("draft", func(ask *Ask) { ask.Prefix = prefix })[0]
			if home[prefix] == granted.Upstream {
				hits++
			}
			home[prefix] = granted.Upstream
			running = append(running, granted.Grant)
			if len(running) > 12 {
				bench.Release(bench.now, running[0], messenger.Observation{})
				running = running[1:]
			}
			for _, slots := range bench.table {
				assert.Assert(t, slots.active <= 4, "%s has %d of 13", slots.name, slots.active)
			}
		}
		t.Logf("affinity %v: %d of 300 met their prefix", affinity, hits)
		assert.Equal(t, hits >= 200, affinity)
	}
}

func TestServicesAreNeverToldToPause(t *testing.T) {
	document := definer.PoolDocument{Name: "desk", Kind: "service", Upstreams: []definer.UpstreamDocument{
		{Name: "desk0", DataCentre: "skopje", Address: "127.0.0.1:1", Slots: 1},
	}}
	configuration, err := definer.Build(1, definer.Document{Classes: classDocuments(), Pools: []definer.PoolDocument{document}})
	assert.NilError(t, err)
	bench := newBench(t, setting{upstreams: 1, slots: 1})
	bench.Adjust(configuration.Pools()[0])
	bench.Configure(bench.now, configuration.Pools()[0].Upstreams(), configuration.Classes())
	assert.Assert(t, !bench.ask("digest", nil)[0].Preemptible)
	assert.Equal(t, len(bench.ask("confirm", nil)), 0)
}

func TestTheSameStepsGiveTheSameDecisions(t *testing.T) {
	run := func() string {
		driver, draw := newDriver(t, unchanged), seeded(9)
		for range 5000 {
			driver.step(draw)
		}
		return fmt.Sprint(driver.counts, driver.asked, driver.ids, driver.scheduler.issued)
	}
	assert.Equal(t, run(), run())
}
