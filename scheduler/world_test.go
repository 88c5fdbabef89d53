package scheduler

import (
	"fmt"
	"math/rand/v2"
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
		if slots.present && len(slots.paused) > slots.upstream.MaxSlots()*5/4+1 {
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

// steppedLimiter gives limits that the test changes.
type steppedLimiter struct{ limits map[definer.UpstreamName]int }

func (limiter steppedLimiter) Limit(upstream *definer.Upstream) int {
	if limit, ok := limiter.limits[upstream.Name()]; ok {
		return limit
	}
	return upstream.Slots()
}

func (steppedLimiter) Observe(time.Time, *definer.Upstream, *definer.Class, messenger.Observation) {
}

// driver makes random steps.
type driver struct {
	*ledger
	t       testing.TB
	setting setting
	limiter steppedLimiter
	classes []*definer.Class
	now     time.Time
	asked   int
	adopted int
}

func newDriver(t testing.TB, change func(*Scheduler)) *driver {
	limiter := steppedLimiter{limits: make(map[definer.UpstreamName]int)}
	made := New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1", Incarnation: 1}, WithLimiter(limiter))
	change(made)
	driver := &driver{
		ledger: newLedger(made), t: t, limiter: limiter, now: start(),
		setting: setting{upstreams: 5, slots: 3, share: 0.2, leaving: make(map[int]bool), gone: make(map[int]bool), classes: impatient()},
	}
	driver.configure()
	return driver
}

func (driver *driver) configure() {
	pool, classes := driver.setting.build(driver.t)
	driver.classes = classes
	driver.take(driver.now, driver.scheduler.Expire(driver.now))
	driver.scheduler.Adjust(pool)
	driver.take(driver.now, driver.scheduler.Configure(driver.now, pool.Upstreams(), classes))
}

// step does one thing chosen by draw, which returns a number below its bound.
func (driver *driver) step(draw func(int) int) {
	clear(driver.paused)
	for _, slots := range driver.scheduler.table {
		for _, grant := range slots.paused {
			driver.paused[grant.id] = true
		}
	}
	driver.now = driver.now.Add(time.Duration(draw(60)) * time.Millisecond)
	switch choice := draw(1000); {
	case choice < 500:
		driver.ask(draw)
	case choice < 880:
		driver.release(draw)
	case choice < 930:
		driver.take(driver.now, driver.scheduler.Expire(driver.now))
	case choice < 960:
		driver.withdraw(draw)
	case choice < 985:
		driver.limiter.limits[definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))] = 1 + draw(6)
	case choice < 993:
		driver.adopt(draw)
	case choice < 995:
		driver.forget(draw)
	default:
		driver.reconfigure(draw)
	}
}

// reconfigure lets at most one upstream leave and one be gone, and changes a
// class and the protected share.
func (driver *driver) reconfigure(draw func(int) int) {
	clear(driver.setting.leaving)
	clear(driver.setting.gone)
	driver.setting.leaving[draw(7)] = true
	driver.setting.gone[draw(7)] = true
	driver.setting.share = float64(draw(4)) / 10
	driver.setting.classes = impatient()
	driver.setting.classes[2].Preemptible = draw(2) == 0
	driver.setting.classes[4].FloorShare = float64(draw(4)) / 10
	driver.setting.classes[3].Tier = 2 + draw(3)
	driver.configure()
}

func (driver *driver) ask(draw func(int) int) {
	driver.asked++
	ask := Ask{
		Request: definer.RequestID(fmt.Sprint("r", driver.asked)), Entry: definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))},
		Class: driver.classes[draw(5)], Organisation: definer.OrganisationName(fmt.Sprint("o", draw(4))), Weight: float64(1 + draw(3)),
		Model: []string{"", "small", "large"}[draw(3)], PromptTokens: draw(2000), OutputTokens: draw(500), Arrival: driver.now.Add(-time.Duration(draw(4000)) * time.Millisecond),
	}
	if draw(4) == 0 {
		ask.Deadline = driver.now.Add(time.Duration(draw(8000)) * time.Millisecond)
	}
	if draw(6) == 0 {
		ask.Exclude = []definer.UpstreamName{definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))}
	}
	driver.open[ask.Request] = &record{ask: ask}
	driver.take(driver.now, driver.scheduler.Ask(driver.now, ask))
}

// pick returns a random running grant without walking a map.
func (driver *driver) pick(draw func(int) int) (definer.GrantID, bool) {
	for len(driver.ids) > 0 {
		index, last := draw(len(driver.ids)), len(driver.ids)-1
		id := driver.ids[index]
		driver.ids[index] = driver.ids[last]
		driver.ids = driver.ids[:last]
		if driver.running[id] != nil {
			return id, true
		}
	}
	return "", false
}

func (driver *driver) release(draw func(int) int) {
	// Now and then all upstreams hang, so that the expected waits are wrong.
	if driver.now.Unix()%100 < 12 {
		return
	}
	id, ok := driver.pick(draw)
	if !ok {
		return
	}
	delete(driver.running, id)
	observation := messenger.Observation{Tokens: 1 + draw(600), Total: time.Second, Failed: draw(20) == 0}
	driver.take(driver.now, driver.scheduler.Release(driver.now, id, observation))
	if again := driver.scheduler.Release(driver.now, id, observation); len(again) != 0 {
		driver.fault("a second release of %s did something", id)
	}
}

func (driver *driver) withdraw(draw func(int) int) {
	request := definer.RequestID(fmt.Sprint("r", max(1, driver.asked-draw(60))))
	delete(driver.open, request)
	for id, record := range driver.running {
		if record.ask.Request == request {
			delete(driver.running, id)
		}
	}
	driver.take(driver.now, driver.scheduler.Withdraw(driver.now, request))
}

func (driver *driver) adopt(draw func(int) int) {
	// What is due by now is decided before the change, so check it before.
	driver.take(driver.now, driver.scheduler.Expire(driver.now))
	driver.adopted++
	id := definer.GrantID(fmt.Sprint("old", driver.adopted))
	class, member := driver.classes[draw(5)], definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))}
	upstream := definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))
	driver.running[id] = &record{ask: Ask{Class: class, Entry: member, Request: definer.RequestID(id)}, upstream: upstream}
	driver.ids = append(driver.ids, id)
	for range 2 {
		driver.scheduler.Adopt(driver.now, member, class, messenger.HeldGrant{
			Grant: id, Request: definer.RequestID(id), Class: class.Name(), Organisation: "o1",
			Upstream: upstream, Age: time.Second,
		})
	}
	driver.take(driver.now, driver.scheduler.Expire(driver.now))
}

func (driver *driver) forget(draw func(int) int) {
	member := definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))}
	for request, record := range driver.open {
		if record.ask.Entry == member {
			delete(driver.open, request)
		}
	}
	for id, record := range driver.running {
		if record.ask.Entry == member {
			delete(driver.running, id)
		}
	}
	driver.take(driver.now, driver.scheduler.Forget(driver.now, member))
}

func seeded(seed uint64) func(int) int {
	source := rand.New(rand.NewPCG(seed, seed))
	return source.IntN
}
