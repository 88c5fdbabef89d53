package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// harness is a scheduler with its own clock and shortcuts for asks.
type harness struct {
	*Scheduler
	now     time.Time
	classes map[definer.ClassName]*definer.Class
	asked   int
}

func newHarness(t *testing.T, poolSetting poolSetting, options ...Option) *harness {
	pool, classes := poolSetting.build(t)
	harness := &harness{
		Scheduler: New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1"}, append(options, WithPool(pool))...),
		now:       start(), classes: make(map[definer.ClassName]*definer.Class),
	}
	for _, class := range classes {
		harness.classes[class.Name()] = class
	}
	harness.Configure(harness.now, pool.Upstreams(), classes)
	return harness
}

// ask makes a new ask of the class, after change if not nil, and returns all decisions.
func (harness *harness) ask(class definer.ClassName, change func(*Ask)) []Decision {
	harness.asked++
	harness.now = harness.now.Add(time.Millisecond)
	ask := Ask{
		Request: definer.RequestID(fmt.Sprint("r", harness.asked)), Class: harness.classes[class], Organisation: "o", Weight: 1,
		Entry: definer.Member{VM: "vm1"}, Arrival: harness.now, OutputTokens: 100,
	}
	if change != nil {
		change(&ask)
	}
	return harness.Ask(harness.now, ask)
}

// fill makes count asks of the class, which must all be granted, and returns the
// grants.
func (harness *harness) fill(t *testing.T, class definer.ClassName, count int) []definer.GrantID {
	var grants []definer.GrantID
	for range count {
		decisions := harness.ask(class, nil)
		assert.Equal(t, len(decisions), 1)
		assert.Assert(t, decisions[0].Granted())
		grants = append(grants, decisions[0].Grant)
	}
	return grants
}

// train makes the scheduler observe that a slot does 100 tokens per second.
func (harness *harness) train(t *testing.T) {
	for range 20 {
		grant := harness.fill(t, "digest", 1)[0]
		harness.now = harness.now.Add(time.Second)
		harness.Release(harness.now, grant, messenger.Observation{Tokens: 100, Total: time.Second})
	}
}

func TestProtectedShareIsKeptForProtectedClasses(t *testing.T) {
	for _, test := range []struct {
		name        string
		poolSetting poolSetting
		ordinary    int
	}{
		{"none", poolSetting{upstreams: 2, slots: 5}, 10},
		{"a fifth", poolSetting{upstreams: 2, slots: 5, protectedShare: 0.2}, 8},
		{"rounded up once, not for each", poolSetting{upstreams: 4, slots: 5, protectedShare: 0.11}, 17},
		{"never the last slot of an upstream", poolSetting{upstreams: 2, slots: 1, protectedShare: 0.5}, 2},
		{"all", poolSetting{upstreams: 2, slots: 2, protectedShare: 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.poolSetting)
			for range 40 {
				harness.ask("draft", nil)
			}
			assert.Equal(t, harness.Running(), test.ordinary)
			harness.fill(t, "confirm", test.poolSetting.upstreams*test.poolSetting.slots-test.ordinary)
		})
	}
}

func TestTheYoungestLowerWorkIsPausedAndComesBackFirst(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 3})
	grants := harness.fill(t, "proposal", 3)
	urgent := harness.fill(t, "confirm", 1)[0]
	assert.Assert(t, harness.grants[grants[2]].paused)
	assert.Equal(t, harness.Paused(), 1)
	assert.Equal(t, harness.Running(), 4)
	assert.Equal(t, len(harness.ask("proposal", nil)), 0)
	assert.Equal(t, len(harness.Release(harness.now, urgent, messenger.Observation{})), 0)
	assert.Assert(t, !harness.grants[grants[2]].paused, "the paused grant resumes before new work of its tier starts")
	assert.Equal(t, harness.Waiting(), 1)
}

func TestHigherClassesLeaveLowerOnesTheirFloor(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 20})
	harness.fill(t, "digest", 20)
	for range 40 {
		harness.ask("counter", nil)
	}
	assert.Equal(t, harness.classNamed("digest").active, 2, "unprotected classes do not preempt the floor")
	for range 40 {
		harness.ask("confirm", nil)
	}
	assert.Equal(t, harness.classNamed("digest").active, 0, "protected classes may preempt the floor")
}

func (harness *harness) classNamed(name definer.ClassName) *class {
	return harness.Scheduler.classes[name]
}

func TestHopelessAsksAreRefusedAtOnce(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 1})
	harness.train(t)
	harness.fill(t, "draft", 1)
	var refused Decision
	queued := 0
	for refused.Reason == "" {
		decisions := harness.ask("draft", nil)
		if len(decisions) > 0 {
			refused = decisions[0]
			continue
		}
		queued++
	}
	assert.Equal(t, refused.Reason, messenger.QueueFull)
	assert.Equal(t, queued, 3, "a target of 3 s allows three answers of 1 s")
	assert.Assert(t, refused.RetryAfter >= time.Second && refused.RetryAfter < 10*time.Second, refused.RetryAfter)
	assert.Assert(t, harness.ExpectedWait(harness.now, harness.classes["draft"]) > time.Second)
	assert.Equal(t, harness.ExpectedWait(harness.now, harness.classes["confirm"]) > harness.ExpectedWait(harness.now, harness.classes["draft"]), false)

	soon := harness.ask("digest", func(ask *Ask) { ask.Deadline = ask.Arrival.Add(time.Second) })
	assert.Equal(t, len(soon), 0, "the first ask of a starving class is admitted")
	soon = harness.ask("digest", func(ask *Ask) { ask.Deadline = ask.Arrival.Add(time.Second) })
	assert.Equal(t, soon[0].Reason, messenger.DeadlineMissed)
}

func TestFullQueueShedsTheLowestTierFirst(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 1}, WithMaxQueueLength(2))
	harness.fill(t, "draft", 1)
	harness.ask("proposal", nil)
	harness.ask("digest", nil)
	shed := harness.ask("counter", nil)
	assert.Equal(t, shed[0].Reason, messenger.Shed)
	assert.Equal(t, shed[0].Ask.Class.Name(), definer.ClassName("digest"))
	shed = harness.ask("confirm", nil)
	assert.Equal(t, shed[0].Ask.Class.Name(), definer.ClassName("proposal"))
	full := harness.ask("digest", nil)
	assert.Equal(t, full[0].Reason, messenger.QueueFull)
	assert.Equal(t, full[0].Ask.Class.Name(), definer.ClassName("digest"))
}

func TestAsksThatFitNoFreeUpstreamBlockNobody(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 2, slots: 1})
	// Only runner01 serves the large model.
	large := func(ask *Ask) { ask.Model = "large" }
	first := harness.ask("draft", large)
	assert.Equal(t, first[0].Upstream, definer.UpstreamName("runner01"))
	assert.Equal(t, len(harness.ask("counter", large)), 0)
	assert.Equal(t, harness.ask("draft", nil)[0].Upstream, definer.UpstreamName("runner00"))
	assert.Equal(t, harness.ask("draft", func(ask *Ask) { ask.Model = "none" })[0].Reason, messenger.NoUpstream)
	all := func(ask *Ask) { ask.Exclude = []definer.UpstreamName{"runner01", "runner00"} }
	assert.Equal(t, harness.ask("draft", all)[0].Reason, messenger.NoUpstream)
	released := harness.Release(harness.now, first[0].Grant, messenger.Observation{})
	assert.Equal(t, released[0].Ask.Class.Name(), definer.ClassName("counter"))
}

func TestTheSameAskAgainKeepsItsPlaceAndItsGrant(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 1})
	again := func(ask *Ask) { ask.Request = "again" }
	first := harness.ask("draft", again)
	assert.Equal(t, harness.ask("draft", again)[0].Grant, first[0].Grant)
	assert.Equal(t, harness.Running(), 1)
	harness.ask("draft", func(ask *Ask) { ask.Request = "second" })
	harness.ask("draft", func(ask *Ask) { ask.Request = "third" })
	harness.ask("draft", func(ask *Ask) { ask.Request = "second" })
	assert.Equal(t, harness.Waiting(), 2)
	next := harness.Release(harness.now, first[0].Grant, messenger.Observation{})
	assert.Equal(t, next[0].Ask.Request, definer.RequestID("second"))
}

// Guards against a second slot for an attempt whose grant was adopted from another owner.
func TestAskOfAnAdoptedGrantGetsThatGrant(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 2})
	again := func(ask *Ask) { ask.Request, ask.Attempt = "again", 2 }
	first := harness.ask("draft", again)[0]
	assert.Equal(t, len(harness.Release(harness.now, first.Grant, messenger.Observation{})), 0)
	harness.Adopt(harness.now, first.Ask.Entry, first.Ask.Class, messenger.HeldGrant{
		Grant: "adopted", Request: "again", Attempt: 2, Class: first.Ask.Class.Name(), Upstream: first.Upstream,
	})
	assert.Equal(t, harness.ask("draft", again)[0].Grant, definer.GrantID("adopted"))
	assert.Equal(t, harness.Running(), 1)
}

func TestPrefixesGoToTheSameUpstreamWhileLoadAllows(t *testing.T) {
	for _, affinity := range []bool{true, false} {
		harness := newHarness(t, poolSetting{upstreams: 8, slots: 8, affinity: affinity})
		hits, home := 0, make(map[uint64]definer.UpstreamName)
		var running []definer.GrantID
		for index := range 300 {
			prefix := uint64(1 + index%6)
			granted := harness.ask("draft", func(ask *Ask) { ask.Prefix = prefix })[0]
			if home[prefix] == granted.Upstream {
				hits++
			}
			home[prefix] = granted.Upstream
			running = append(running, granted.Grant)
			if len(running) > 12 {
				harness.Release(harness.now, running[0], messenger.Observation{})
				running = running[1:]
			}
			for _, upstream := range harness.upstreams {
				assert.Assert(t, upstream.active <= 4, "%s has %d of 13", upstream.name, upstream.active)
			}
		}
		t.Logf("affinity %v: %d of 300 went to the last upstream of their prefix", affinity, hits)
		assert.Equal(t, hits >= 200, affinity)
	}
}

func TestServicesAreNeverToldToPause(t *testing.T) {
	document := definer.PoolDocument{Name: "desk", Kind: "service", Upstreams: []definer.UpstreamDocument{
		{Name: "desk0", DataCentre: "skopje", Address: "127.0.0.1:1", Slots: 1},
	}}
	configuration, err := definer.Build(1, definer.Document{Classes: classDocuments(), Pools: []definer.PoolDocument{document}})
	assert.NilError(t, err)
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 1})
	harness.SetPool(configuration.Pools()[0])
	harness.Configure(harness.now, configuration.Pools()[0].Upstreams(), configuration.Classes())
	assert.Assert(t, !harness.ask("digest", nil)[0].Preemptible)
	assert.Equal(t, len(harness.ask("confirm", nil)), 0)
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
