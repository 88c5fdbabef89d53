package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// classDocuments returns five classes, one in each tier, like those of the button
// co-operative.
func classDocuments() []definer.ClassDocument {
	return []definer.ClassDocument{
		{Name: "confirm", Tier: 0, Protected: true, FirstTokenMs: 1000, Attainment: 0.99, LongestWaitMs: 5_000},
		{Name: "counter", Tier: 1, FirstTokenMs: 1100, Attainment: 0.95, FloorShare: 0.1, LongestWaitMs: 10_000},
		{Name: "draft", Tier: 2, FirstTokenMs: 3000, Attainment: 0.9, FloorShare: 0.05, LongestWaitMs: 30_000},
		{Name: "proposal", Tier: 3, Preemptible: true, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 300_000},
		{Name: "digest", Tier: 4, Preemptible: true, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 900_000},
	}
}

// shortWaitClasses returns classDocuments with a longest wait of 8 s for digest.
func shortWaitClasses() []definer.ClassDocument {
	documents := classDocuments()
	documents[4].LongestWaitMs = 8000
	return documents
}

type poolSetting struct {
	upstreams      int
	slots          int
	protectedShare float64
	affinity       bool
	// leaving and gone hold the indexes of upstreams that are leaving or have left.
	leaving map[int]bool
	gone    map[int]bool
	classes []definer.ClassDocument
}

func (poolSetting poolSetting) build(t testing.TB) (*definer.Pool, []*definer.Class) {
	pool := definer.PoolDocument{Name: "shared", Kind: "engine", ProtectedShare: poolSetting.protectedShare, PrefixAffinity: poolSetting.affinity}
	for index := range poolSetting.upstreams {
		if poolSetting.gone[index] {
			continue
		}
		models := []string{"small"}
		if index%3 != 0 {
			models = []string{"small", "large"}
		}
		pool.Upstreams = append(pool.Upstreams, definer.UpstreamDocument{
			Name: fmt.Sprintf("runner%02d", index), DataCentre: "skopje", Address: fmt.Sprintf("127.0.0.1:%d", 9000+index),
			Models: models, Slots: poolSetting.slots, MaxSlots: 2 * poolSetting.slots, Leaving: poolSetting.leaving[index],
		})
	}
	if poolSetting.classes == nil {
		poolSetting.classes = classDocuments()
	}
	configuration, err := definer.Build(1, definer.Document{Classes: poolSetting.classes, Pools: []definer.PoolDocument{pool}})
	assert.NilError(t, err)
	return configuration.Pools()[0], configuration.Classes()
}

func start() time.Time { return time.Unix(1_700_000_000, 0) }

// checker tracks every ask independently of the scheduler and records violated
// invariants.
type checker struct {
	scheduler *Scheduler
	// open holds the asks without a decision; running holds the granted ones.
	open    map[definer.RequestID]*record
	running map[definer.GrantID]*record
	// ids holds the keys of running and some that were released.
	ids []definer.GrantID
	// paused holds the grants that were paused before the step.
	paused map[definer.GrantID]bool
	faults []string
	counts map[string]int
}

type record struct {
	ask Ask
	// overtaken reports whether, while the ask waited, a lower tier got a slot of an
	// upstream that fits the ask.
	overtaken bool
	upstream  definer.UpstreamName
}

func newChecker(scheduler *Scheduler) *checker {
	return &checker{
		scheduler: scheduler, counts: make(map[string]int), paused: make(map[definer.GrantID]bool),
		open: make(map[definer.RequestID]*record), running: make(map[definer.GrantID]*record),
	}
}

func (checker *checker) fault(format string, values ...any) {
	checker.faults = append(checker.faults, fmt.Sprintf(format, values...))
}

func (checker *checker) fits(ask Ask, upstream *upstream) bool {
	return upstream.present && !upstream.definition.Leaving() && upstream.definition.Serves(ask.Model) && !slices.Contains(ask.Exclude, upstream.name)
}

// check checks new decisions and updates the tracked asks.
func (checker *checker) check(now time.Time, decisions []Decision) {
	for _, decision := range decisions {
		request := decision.Ask.Request
		waiter, ok := checker.open[request]
		if !ok {
			checker.fault("%s got a second decision", request)
			continue
		}
		delete(checker.open, request)
		if decision.Granted() {
			checker.checkGrant(decision, waiter)
			continue
		}
		checker.counts[string(decision.Reason)]++
		checker.checkRefusal(now, decision, waiter)
	}
}

func (checker *checker) checkGrant(decision Decision, waiter *record) {
	if _, twice := checker.running[decision.Grant]; twice {
		checker.fault("grant %s was made twice", decision.Grant)
	}
	checker.running[decision.Grant] = waiter
	checker.ids = append(checker.ids, decision.Grant)
	waiter.ask, waiter.upstream = decision.Ask, decision.Upstream
	upstream := checker.scheduler.byName[decision.Upstream]
	if !checker.fits(decision.Ask, upstream) {
		checker.fault("%s was sent to %s, which does not fit", decision.Ask.Request, decision.Upstream)
	}
	for _, other := range checker.open {
		lower := other.ask.Class.Tier() < decision.Ask.Class.Tier()
		if lower && other.ask.Class.Protected() && checker.fits(other.ask, upstream) {
			other.overtaken = true
		}
	}
}

// checkRefusal checks the invariants of protected classes, the bound on the wait and
// Retry-After.
func (checker *checker) checkRefusal(now time.Time, decision Decision, waiter *record) {
	if decision.Reason != messenger.NoUpstream && decision.RetryAfter < minRetryAfter {
		checker.fault("%s: Retry-After is %s", decision.Ask.Request, decision.RetryAfter)
	}
	class := decision.Ask.Class
	if waited := now.Sub(decision.Ask.Arrival); waited > class.LongestWait()+time.Second {
		checker.fault("%s of %s waited %s", decision.Ask.Request, class.Name(), waited)
	}
	if !class.Protected() || decision.Reason == messenger.NoUpstream {
		return
	}
	checker.counts["protected refused"]++
	if decision.Reason == messenger.Shed {
		checker.fault("%s is protected and was shed", decision.Ask.Request)
	}
	if waiter.overtaken {
		checker.fault("%s is protected and was refused (%s) after a lower tier got a slot that fits", decision.Ask.Request, decision.Reason)
	}
	late := !decision.Ask.Deadline.IsZero() && decision.Ask.Deadline.Before(now)
	for id, lower := range checker.running {
		if late && checker.paused[id] {
			// The slot was freed after the deadline, too late for this ask.
			continue
		}
		preemptible := lower.ask.Class.Preemptible() && lower.ask.Class.Tier() > class.Tier() && !checker.scheduler.grants[id].paused
		if preemptible && checker.fits(decision.Ask, checker.scheduler.byName[lower.upstream]) {
			checker.fault("%s is protected and was refused (%s) while %s ran on %s", decision.Ask.Request, decision.Reason, id, lower.upstream)
		}
	}
}

// audit recomputes the counters of the scheduler from its grants and lanes and compares
// them.
func (checker *checker) audit() {
	scheduler := checker.scheduler
	if len(checker.open) != scheduler.Waiting() || scheduler.byExpiry.len() != scheduler.Waiting() {
		checker.fault("%d asks are open, %d wait, %d have an expiry", len(checker.open), scheduler.Waiting(), scheduler.byExpiry.len())
	}
	if len(checker.running) != scheduler.Running() {
		checker.fault("%d grants run, the scheduler has %d", len(checker.running), scheduler.Running())
	}
	active, ordinary, paused := make(map[*upstream]int), make(map[*upstream]int), make(map[*upstream]int)
	classActive, pausable := make(map[*class]int), make(map[*class]int)
	for id, grant := range scheduler.grants {
		if checker.running[id] == nil {
			checker.fault("grant %s is known to the scheduler only", id)
		}
		if grant.paused {
			paused[grant.upstream]++
			continue
		}
		active[grant.upstream]++
		classActive[grant.class]++
		if !grant.protected {
			ordinary[grant.upstream]++
		}
		if grant.preemptible {
			pausable[grant.class]++
		}
	}
	for _, upstream := range scheduler.upstreams {
		if upstream.active != active[upstream] || upstream.unprotectedActive != ordinary[upstream] || len(upstream.paused) != paused[upstream] {
			checker.fault("%s counts %d, %d, %d; it has %d, %d, %d", upstream.name, upstream.active, upstream.unprotectedActive, len(upstream.paused), active[upstream], ordinary[upstream], paused[upstream])
		}
		if upstream.present && len(upstream.paused) > 2*upstream.definition.MaxSlots() {
			checker.fault("%s has %d paused", upstream.name, len(upstream.paused))
		}
	}
	waiting := make(map[*class]int)
	for _, lane := range scheduler.lanes {
		waiting[lane.class] += lane.count
		if lane.count > 0 && lane.upstreamSet.intersects(scheduler.roomNow(lane.class)) {
			checker.fault("an ask of %s waits although a slot is free", lane.class.definition.Name())
		}
	}
	for _, class := range scheduler.classesByTier {
		if class.active != classActive[class] || class.preemptibleActive != pausable[class] || class.waiting != waiting[class] {
			checker.fault("%s counts %d, %d, %d; it has %d, %d, %d", class.definition.Name(), class.active, class.preemptibleActive, class.waiting, classActive[class], pausable[class], waiting[class])
		}
	}
}

func (scheduler *Scheduler) roomNow(class *class) []uint64 {
	scheduler.findRoom()
	return scheduler.roomFor(class)
}
