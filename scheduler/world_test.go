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

// classDocuments are five tiers like those of the button co-operative.
func classDocuments() []definer.ClassDocument {
	return []definer.ClassDocument{
		{Name: "confirm", Tier: 0, Protected: true, FirstTokenMs: 1000, Attainment: 0.99, LongestWaitMs: 5_000},
		{Name: "counter", Tier: 1, FirstTokenMs: 1100, Attainment: 0.95, FloorShare: 0.1, LongestWaitMs: 10_000},
		{Name: "draft", Tier: 2, FirstTokenMs: 3000, Attainment: 0.9, FloorShare: 0.05, LongestWaitMs: 30_000},
		{Name: "proposal", Tier: 3, Preemptible: true, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 300_000},
		{Name: "digest", Tier: 4, Preemptible: true, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 900_000},
	}
}

// impatient are the same classes with a digest that waits 8 s at most.
func impatient() []definer.ClassDocument {
	documents := classDocuments()
	documents[4].LongestWaitMs = 8000
	return documents
}

type setting struct {
	upstreams int
	slots     int
	share     float64
	affinity  bool
	// leaving and gone are upstreams that leave or have left.
	leaving map[int]bool
	gone    map[int]bool
	classes []definer.ClassDocument
}

func (setting setting) build(t testing.TB) (*definer.Pool, []*definer.Class) {
	pool := definer.PoolDocument{Name: "shared", Kind: "engine", ProtectedShare: setting.share, PrefixAffinity: setting.affinity}
	for index := range setting.upstreams {
		if setting.gone[index] {
			continue
		}
		models := []string{"small"}
		if index%3 != 0 {
			models = []string{"small", "large"}
		}
		pool.Upstreams = append(pool.Upstreams, definer.UpstreamDocument{
			Name: fmt.Sprintf("runner%02d", index), DataCentre: "skopje", Address: fmt.Sprintf("127.0.0.1:%d", 9000+index),
			Models: models, Slots: setting.slots, MaxSlots: 2 * setting.slots, Leaving: setting.leaving[index],
		})
	}
	if setting.classes == nil {
		setting.classes = classDocuments()
	}
	configuration, err := definer.Build(1, definer.Document{Classes: setting.classes, Pools: []definer.PoolDocument{pool}})
	assert.NilError(t, err)
	return configuration.Pools()[0], configuration.Classes()
}

func start() time.Time { return time.Unix(1_700_000_000, 0) }

// ledger follows every ask from outside and keeps what the checks need.
type ledger struct {
	scheduler *Scheduler
	// open holds the asks without a final decision, running those granted.
	open    map[definer.RequestID]*record
	running map[definer.GrantID]*record
	// ids holds the keys of running, and some that are gone.
	ids []definer.GrantID
	// paused are the grants that were paused before the step.
	paused map[definer.GrantID]bool
	faults []string
	counts map[string]int
}

type record struct {
	ask Ask
	// overtaken says that lower work got a slot of an upstream that fits the
	// ask after it came.
	overtaken bool
	upstream  definer.UpstreamName
}

func newLedger(scheduler *Scheduler) *ledger {
	return &ledger{
		scheduler: scheduler, counts: make(map[string]int), paused: make(map[definer.GrantID]bool),
		open: make(map[definer.RequestID]*record), running: make(map[definer.GrantID]*record),
	}
}

func (ledger *ledger) fault(format string, values ...any) {
	ledger.faults = append(ledger.faults, fmt.Sprintf(format, values...))
}

func (ledger *ledger) fits(ask Ask, slots *slots) bool {
	return slots.present && !slots.upstream.Leaving() && slots.upstream.Serves(ask.Model) && !slices.Contains(ask.Exclude, slots.name)
}

// take checks each decision as it is made.
func (ledger *ledger) take(now time.Time, decisions []Decision) {
	for _, decision := range decisions {
		request := decision.Ask.Request
		waiter, ok := ledger.open[request]
		if !ok {
			ledger.fault("%s got a decision more", request)
			continue
		}
		delete(ledger.open, request)
		if decision.Granted() {
			ledger.granted(decision, waiter)
			continue
		}
		ledger.counts[string(decision.Reason)]++
		ledger.refused(now, decision, waiter)
	}
}

func (ledger *ledger) granted(decision Decision, waiter *record) {
	if _, twice := ledger.running[decision.Grant]; twice {
		ledger.fault("grant %s was made twice", decision.Grant)
	}
	ledger.running[decision.Grant] = waiter
	ledger.ids = append(ledger.ids, decision.Grant)
	waiter.ask, waiter.upstream = decision.Ask, decision.Upstream
	slots := ledger.scheduler.byName[decision.Upstream]
	if !ledger.fits(decision.Ask, slots) {
		ledger.fault("%s was sent to %s, which does not fit", decision.Ask.Request, decision.Upstream)
	}
	for _, other := range ledger.open {
		lower := other.ask.Class.Tier() < decision.Ask.Class.Tier()
		if lower && other.ask.Class.Protected() && ledger.fits(other.ask, slots) {
			other.overtaken = true
		}
	}
}

// refused checks the invariant of protected classes and the bound on the wait.
func (ledger *ledger) refused(now time.Time, decision Decision, waiter *record) {
	if decision.Reason != messenger.NoUpstream && decision.RetryAfter < leastRetry {
		ledger.fault("%s: Retry-After is %s", decision.Ask.Request, decision.RetryAfter)
	}
	class := decision.Ask.Class
	if waited := now.Sub(decision.Ask.Arrival); waited > class.LongestWait()+time.Second {
		ledger.fault("%s of %s waited %s", decision.Ask.Request, class.Name(), waited)
	}
	if !class.Protected() || decision.Reason == messenger.NoUpstream {
		return
	}
	ledger.counts["protected refused"]++
	if decision.Reason == messenger.Shed {
		ledger.fault("%s is protected and was shed", decision.Ask.Request)
	}
	if waiter.overtaken {
		ledger.fault("%s is protected and was refused (%s) after lower work got its slot", decision.Ask.Request, decision.Reason)
	}
	late := !decision.Ask.Deadline.IsZero() && decision.Ask.Deadline.Before(now)
	for id, lower := range ledger.running {
		if late && ledger.paused[id] {
			// The slot was freed after the deadline; it could not help any more.
			continue
		}
		preemptible := lower.ask.Class.Preemptible() && lower.ask.Class.Tier() > class.Tier() && !ledger.scheduler.grants[id].paused
		if preemptible && ledger.fits(decision.Ask, ledger.scheduler.byName[lower.upstream]) {
			ledger.fault("%s is protected and was refused (%s) while %s ran on %s", decision.Ask.Request, decision.Reason, id, lower.upstream)
		}
	}
}

// audit counts the whole state anew and compares.
func (ledger *ledger) audit() {
	scheduler := ledger.scheduler
	if len(ledger.open) != scheduler.Waiting() || scheduler.due.len() != scheduler.Waiting() {
		ledger.fault("%d asks are open, %d wait, %d are due", len(ledger.open), scheduler.Waiting(), scheduler.due.len())
	}
	if len(ledger.running) != scheduler.Running() {
		ledger.fault("%d grants run, the table has %d", len(ledger.running), scheduler.Running())
	}
	active, ordinary, paused := make(map[*slots]int), make(map[*slots]int), make(map[*slots]int)
	classActive, pausable := make(map[*class]int), make(map[*class]int)
	for id, grant := range scheduler.grants {
		if ledger.running[id] == nil {
			ledger.fault("grant %s is in the table alone", id)
		}
		if grant.paused {
			paused[grant.slots]++
			continue
		}
		active[grant.slots]++
		classActive[grant.class]++
		if !grant.protected {
			ordinary[grant.slots]++
		}
		if grant.preemptible {
			pausable[grant.class]++
		}
	}
	for _, slots := range scheduler.table {
		if slots.active != active[slots] || slots.ordinaryActive != ordinary[slots] || len(slots.paused) != paused[slots] {
			ledger.fault("%s counts %d, %d, %d; it has %d, %d, %d", slots.name, slots.active, slots.ordinaryActive, len(slots.paused), active[slots], ordinary[slots], paused[slots])
		}
		if slots.present && len(slots.paused) > 2*slots.upstream.MaxSlots() {
			ledger.fault("%s has %d paused", slots.name, len(slots.paused))
		}
	}
	waiting := make(map[*class]int)
	for _, lane := range scheduler.lanes {
		waiting[lane.class] += lane.count
		if lane.count > 0 && lane.shape.meets(scheduler.roomNow(lane.class)) {
			ledger.fault("an ask of %s waits beside a free slot", lane.class.definition.Name())
		}
	}
	for _, class := range scheduler.order {
		if class.active != classActive[class] || class.pausable != pausable[class] || class.waiting != waiting[class] {
			ledger.fault("%s counts %d, %d, %d; it has %d, %d, %d", class.definition.Name(), class.active, class.pausable, class.waiting, classActive[class], pausable[class], waiting[class])
		}
	}
}

func (scheduler *Scheduler) roomNow(class *class) []uint64 {
	scheduler.survey()
	return scheduler.roomFor(class)
}
