package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/estimator"
	"limpetcleat/messenger"
)

// job is one request of the simulation.
type job struct {
	ask         Ask
	tokens      int
	grant       definer.GrantID
	priority    int
	preemptible bool
	left        time.Duration
	began       time.Time
	granted     time.Time
	first       time.Duration
	// generation identifies the last start; a pause invalidates earlier end events.
	generation int
}

// runner simulates an engine that runs a fixed number of requests concurrently and
// pauses the youngest of the least urgent ones for a more urgent one.
type runner struct {
	slots   int
	running []*job
	waiting []*job
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.granted.Compare(b.granted), cmp.Compare(a.grant, b.grant))
}

func (runner *runner) begin(now time.Time, simulation *simulation) {
	slices.SortFunc(runner.waiting, compareJobs)
	for len(runner.waiting) > 0 {
		next := runner.waiting[0]
		if len(runner.running) >= runner.slots && !runner.pause(now, next) {
			return
		}
		runner.waiting = slices.DeleteFunc(runner.waiting, func(other *job) bool { return other == next })
		runner.running = append(runner.running, next)
		next.began = now
		next.generation++
		simulation.push(event{at: now.Add(next.left), job: next, generation: next.generation})
		slices.SortFunc(runner.waiting, compareJobs)
	}
}

func (runner *runner) pause(now time.Time, next *job) bool {
	var victim *job
	for _, running := range runner.running {
		if running.preemptible && running.priority > next.priority && (victim == nil || compareJobs(running, victim) > 0) {
			victim = running
		}
	}
	if victim == nil {
		return false
	}
	runner.running = slices.DeleteFunc(runner.running, func(other *job) bool { return other == victim })
	victim.left -= now.Sub(victim.began)
	victim.generation++
	runner.waiting = append(runner.waiting, victim)
	return true
}

// event is the arrival (generation 0) or the end of a job.
type event struct {
	at         time.Time
	job        *job
	generation int
	order      int
	index      int
}

func (event *event) indexPointer() *int { return &event.index }

func (event *event) before(other *event) bool {
	return cmp.Or(event.at.Compare(other.at), cmp.Compare(event.order, other.order)) < 0
}

const (
	tokenTime  = 25 * time.Millisecond
	prefill    = 150 * time.Millisecond
	expiryStep = 100 * time.Millisecond
)

// demand is the traffic of one class and organisation.
type demand struct {
	class string
	// share is the part of all slots that the class fills at load 1.
	share float64
	// tokens is the mean length of an answer; lengths are exponential.
	tokens float64
	// organisation is who asks; if empty, each request draws one of twenty organisations of
	// different size.
	organisation string
	weight       float64
	model        string
}

func usualDemands() []demand {
	return []demand{
		{class: "confirm", share: 0.1, tokens: 60},
		{class: "counter", share: 0.2, tokens: 120},
		{class: "draft", share: 0.2, tokens: 400},
		{class: "proposal", share: 0.2, tokens: 800},
		{class: "digest", share: 0.3, tokens: 2000},
	}
}

// tally counts the results of one class.
type tally struct {
	arrived, met, finished, refused, tokens int
	longest                                 time.Duration
	// gap is the longest time without a grant while asks waited.
	gap  time.Duration
	last time.Time
	// reasons counts the refusals by reason; lateRefusals counts those after half of
	// the longest wait.
	reasons      map[messenger.RefusalReason]int
	lateRefusals int
}

type simulation struct {
	t         testing.TB
	scheduler *Scheduler
	checker   *checker
	source    *rand.Rand
	events    heap[*event]
	order     int
	now       time.Time
	// nextExpiry is the time of the next call of Expire.
	nextExpiry time.Time
	runners    map[definer.UpstreamName]*runner
	jobs       map[definer.RequestID]*job
	tallies    map[definer.ClassName]*tally
	// organisations counts the finished tokens of each.
	organisations map[definer.OrganisationName]int
	// longest bounds the length of an answer in tokens; 0 means no bound.
	longest int
}

func (simulation *simulation) push(event event) {
	simulation.order++
	event.order = simulation.order
	simulation.events.push(&event)
}

func newSimulation(t testing.TB, poolSetting poolSetting, options ...Option) *simulation {
	pool, classes := poolSetting.build(t)
	made := New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1", Incarnation: 1}, append(options, WithPool(pool), WithEstimator(estimator.New()))...)
	simulation := &simulation{
		t: t, scheduler: made, checker: newChecker(made), source: rand.New(rand.NewPCG(7, 7)), now: start(), nextExpiry: start().Add(expiryStep),
		runners: make(map[definer.UpstreamName]*runner), jobs: make(map[definer.RequestID]*job),
		tallies: make(map[definer.ClassName]*tally), organisations: make(map[definer.OrganisationName]int),
	}
	for _, upstream := range pool.Upstreams() {
		simulation.runners[upstream.Name()] = &runner{slots: upstream.Slots()}
	}
	for _, class := range classes {
		simulation.tallies[class.Name()] = &tally{reasons: make(map[messenger.RefusalReason]int)}
	}
	made.Configure(simulation.now, pool.Upstreams(), classes)
	return simulation
}

// arrive schedules random (Poisson) arrivals of a demand for the whole run.
func (simulation *simulation) arrive(demand demand, load float64, slots int, length time.Duration) {
	service := prefill + time.Duration(demand.tokens*float64(tokenTime))
	rate := load * demand.share * float64(slots) / service.Seconds()
	class := simulation.scheduler.classes[definer.ClassName(demand.class)].definition
	for at := start(); ; {
		at = at.Add(time.Duration(simulation.source.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(start()) > length {
			return
		}
		organisation := definer.OrganisationName(demand.organisation)
		if organisation == "" {
			organisation = definer.OrganisationName(fmt.Sprint("o", int(math.Floor(20*math.Pow(simulation.source.Float64(), 2)))))
		}
		tokens := 1 + int(simulation.source.ExpFloat64()*demand.tokens)
		if simulation.longest > 0 {
			tokens = min(tokens, simulation.longest)
		}
		ask := Ask{
			Request: definer.RequestID(fmt.Sprint("r", len(simulation.jobs))), Entry: definer.Member{VM: "vm1"}, Class: class,
			Organisation: organisation, Weight: max(demand.weight, 1), PromptTokens: 300, Arrival: at, Model: demand.model,
		}
		made := &job{ask: ask, tokens: tokens, left: prefill + time.Duration(tokens)*tokenTime}
		simulation.jobs[ask.Request] = made
		simulation.push(event{at: at, job: made})
	}
}

func (simulation *simulation) run(length time.Duration) {
	for simulation.events.len() > 0 {
		next := simulation.events.first()
		if simulation.nextExpiry.Before(next.at) {
			simulation.now = simulation.nextExpiry
			simulation.nextExpiry = simulation.nextExpiry.Add(expiryStep)
			simulation.apply(simulation.scheduler.Expire(simulation.now))
			continue
		}
		if next.at.Sub(start()) > length {
			return
		}
		simulation.events.remove(next)
		simulation.now = next.at
		switch next.generation {
		case 0:
			simulation.ask(next.job)
		case next.job.generation:
			simulation.finish(next.job)
		}
	}
}

func (simulation *simulation) ask(job *job) {
	simulation.tallies[job.ask.Class.Name()].arrived++
	simulation.checker.open[job.ask.Request] = &record{ask: job.ask}
	simulation.apply(simulation.scheduler.Ask(simulation.now, job.ask))
}

func (simulation *simulation) finish(job *job) {
	tally := simulation.tallies[job.ask.Class.Name()]
	tally.finished++
	tally.tokens += job.tokens
	simulation.organisations[job.ask.Organisation] += job.tokens
	target := job.ask.Class.FirstToken()
	if target == 0 || job.first <= target {
		tally.met++
	}
	upstream := simulation.checker.running[job.grant].upstream
	runner := simulation.runners[upstream]
	runner.running = slices.DeleteFunc(runner.running, isJob(job))
	delete(simulation.checker.running, job.grant)
	observation := messenger.Observation{Tokens: job.tokens, FirstToken: prefill, BetweenTokens: tokenTime, Total: simulation.now.Sub(job.granted)}
	simulation.apply(simulation.scheduler.Release(simulation.now, job.grant, observation))
	runner.begin(simulation.now, simulation)
}

func isJob(wanted *job) func(*job) bool { return func(other *job) bool { return other == wanted } }

func (simulation *simulation) apply(decisions []Decision) {
	simulation.checker.check(simulation.now, decisions)
	for _, decision := range decisions {
		job := simulation.jobs[decision.Ask.Request]
		tally := simulation.tallies[decision.Ask.Class.Name()]
		waited := simulation.now.Sub(decision.Ask.Arrival)
		tally.longest = max(tally.longest, waited)
		if !decision.Granted() {
			tally.refused++
			tally.reasons[decision.Reason]++
			if waited > decision.Ask.Class.LongestWait()/2 {
				tally.lateRefusals++
			}
			continue
		}
		tally.gap = max(tally.gap, min(waited, simulation.now.Sub(tally.last)))
		tally.last = simulation.now
		job.grant, job.priority, job.preemptible = decision.Grant, decision.Priority, decision.Preemptible
		job.granted, job.first = simulation.now, waited+prefill
		runner := simulation.runners[decision.Upstream]
		runner.waiting = append(runner.waiting, job)
		runner.begin(simulation.now, simulation)
	}
}
