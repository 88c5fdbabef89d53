package throttler

import (
	"fmt"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

const (
	// overloadService is the service of all upstreams of an overload.
	overloadService = "desk"
	// overloadWork is the time that a request runs, overloadDowntime the time from a fall to the next
	// start of an upstream.
	overloadWork     = 120 * time.Millisecond
	overloadDowntime = 3 * time.Second
	// reportInterval is the time between two exchanges of rejection limits.
	reportInterval = 100 * time.Millisecond
	// burstTarget and afterTarget are the shares of what upstreams without limits serve that are to be
	// served in the burst and after it.
	burstTarget = 0.95
	afterTarget = 0.97
	// maxAsks is the number of permits that a request asks for.
	maxAsks = 4
	// The phases of an overload: the limit is announced at announceTime, the places become few and the
	// fault begins at squeezeTime, the burst is from burstTime to burstEnd, the load is usual after.
	announceTime = time.Second
	squeezeTime  = announceTime + 3*time.Second
	burstTime    = squeezeTime + time.Second
	burstEnd     = burstTime + 4*time.Second
	overloadEnd  = burstEnd + 3*time.Second
)

// overload simulates a fleet and upstreams that crash if they reject too many requests, on a stepped
// clock.
type overload struct {
	*world
	startedAt time.Time
	upstreams []*boundedUpstream
	// tolerated is the number of rejections per second above which an upstream crashes; 0 means that
	// upstreams neither announce a limit nor crash.
	tolerated int
	// load and burst are the usual load and that of the burst, as shares of the capacity.
	load  float64
	burst float64
	calls []*overloadCall
	// offered and served count the requests by phase: before, in and after the burst. late counts the
	// served ones that were served after their objective.
	offered [3]int
	served  [3]int
	late    int
	asks    int
	sent    int
}

// boundedUpstream is an upstream with a bounded queue.
type boundedUpstream struct {
	start      definer.UpstreamStart
	dataCentre definer.DataCentre
	slots      int
	places     int
	downUntil  time.Time
	// calls are the accepted requests; the first slots of them run.
	calls      []*overloadCall
	rejections []time.Time
	falls      int
}

// overloadCall is one request.
type overloadCall struct {
	node      *member
	phase     int
	deadline  time.Time
	upstream  *boundedUpstream
	tried     []*boundedUpstream
	asks      int
	ask       *ask
	askUntil  time.Time
	sentAt    time.Time
	arrivesAt time.Time
	runsSince time.Time
	holding   *Holding
	done      bool
}

// newOverload returns a simulation of the given size.
func newOverload(seed uint64, nodes, upstreams, slots, tolerated int) *overload {
	overload := &overload{world: newWorld(seed, nodes), tolerated: tolerated, load: 0.7, burst: 2}
	overload.nodes[0].weight = 1
	overload.startedAt = overload.now
	for number := range upstreams {
		overload.upstreams = append(overload.upstreams, &boundedUpstream{
			start: definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("b%d", number)), Incarnation: 1}, dataCentre: dataCentre(number), slots: slots, places: 3 * slots,
		})
	}
	return overload
}

// since returns the time from the start of the simulation.
func (overload *overload) since() time.Duration { return overload.now.Sub(overload.startedAt) }

// play runs the simulation. squeeze changes the upstreams at squeezeTime, fault the fleet at
// burstTime, and heal ends the fault a second before the end of the burst.
func (overload *overload) play(squeeze func(upstream *boundedUpstream), fault, heal func(overload *overload)) {
	for overload.since() < overloadEnd {
		before := overload.since()
		overload.now = overload.now.Add(tick)
		passes := func(at time.Duration) bool { return before < at && at <= overload.since() }
		switch {
		case passes(squeezeTime):
			for _, upstream := range overload.upstreams {
				squeeze(upstream)
			}
		case passes(burstTime):
			fault(overload)
		case passes(burstEnd - time.Second):
			heal(overload)
		}
		overload.deliver()
		overload.decide()
		overload.report()
		for _, upstream := range overload.upstreams {
			overload.work(upstream)
		}
		overload.generate()
		overload.calls = slices.DeleteFunc(overload.calls, overload.advance)
	}
}

// report spreads the rejection limits, and has the nodes renew their permits.
func (overload *overload) report() {
	if overload.since()%reportInterval != 0 {
		return
	}
	for _, node := range overload.nodes {
		if node.down || node.frozen {
			continue
		}
		for range 4 {
			peer := overload.nodes[overload.world.random.IntN(len(overload.nodes))]
			if peer.down || peer.frozen || overload.severed(peer, node) {
				continue
			}
			limits, informed := peer.announcer.RejectionLimits(overload.now)
			node.announcer.LearnRejectionLimits(overload.now, peer.peer.VM, limits, informed)
		}
		overload.adopt(node)
		node.throttler.Renew(overload.now)
	}
}

// adopt makes the node's requests in flight without a permit count.
func (overload *overload) adopt(node *member) {
	if limit, _ := node.announcer.RejectionLimit(overload.now, overloadService); !limit.InForce() {
		return
	}
	for _, call := range overload.calls {
		if call.node == node && call.holding == nil && !call.sentAt.IsZero() && !call.done {
			call.holding = node.throttler.Adopt(overload.need(call, 0))
		}
	}
}

// work ends and starts the requests of an upstream.
func (overload *overload) work(upstream *boundedUpstream) {
	if overload.now.Before(upstream.downUntil) {
		return
	}
	for _, call := range upstream.calls[:min(len(upstream.calls), max(upstream.slots, 0))] {
		if call.runsSince.IsZero() {
			call.runsSince = overload.now
		}
	}
	upstream.calls = slices.DeleteFunc(upstream.calls, func(call *overloadCall) bool {
		if call.runsSince.IsZero() || overload.now.Sub(call.runsSince) < overloadWork {
			return false
		}
		overload.answer(call, issuer.Served)
		overload.served[call.phase]++
		if overload.now.After(call.deadline) {
			overload.late++
		}
		return true
	})
}

// answer ends a call at its upstream.
func (overload *overload) answer(call *overloadCall, outcome issuer.Outcome) {
	call.done = true
	node := call.node
	if node.down {
		return
	}
	if overload.tolerated > 0 && overload.since() > announceTime && outcome != issuer.Unused {
		node.announcer.RecordRejectionLimit(overload.now, overloadService, call.sentAt, definer.LimitTo(float64(overload.tolerated)))
	}
	if call.holding != nil {
		node.throttler.returnHolding(overload.now, call.holding, outcome)
	}
}

// generate creates requests at random nodes.
func (overload *overload) generate() {
	share, phase := overload.load, 0
	switch {
	case overload.since() >= burstEnd:
		phase = 2
	case overload.since() >= burstTime:
		share, phase = overload.burst, 1
	}
	slots := 0
	for _, upstream := range overload.upstreams {
		slots += upstream.slots
	}
	for due := share * float64(slots) / overloadWork.Seconds() * tick.Seconds(); due > 0; due-- {
		if overload.world.random.Float64() >= due {
			continue
		}
		node := overload.nodes[overload.world.random.IntN(len(overload.nodes))]
		if node.down || node.frozen {
			continue
		}
		overload.offered[phase]++
		overload.calls = append(overload.calls, &overloadCall{node: node, phase: phase, deadline: overload.now.Add(300 * time.Millisecond)})
	}
}

// need describes the permit of a call.
func (overload *overload) need(call *overloadCall, patience time.Duration) PermitRequest {
	return PermitRequest{
		Start: call.upstream.start, DataCentre: call.upstream.dataCentre, Service: overloadService, Slots: call.upstream.slots, Placed: true, Patience: patience,
	}
}

// advance takes the next step of a call, and reports whether the call has ended.
func (overload *overload) advance(call *overloadCall) bool {
	switch {
	case call.node.down || call.done:
		return true
	case call.node.frozen:
		return false
	case call.upstream == nil:
		return !overload.choose(call)
	case call.ask != nil:
		overload.awaitPermit(call)
		return false
	case !call.arrivesAt.IsZero() && !overload.now.Before(call.arrivesAt):
		overload.arrive(call)
	}
	return false
}

// choose picks an upstream for a call and asks for a permit if one is needed. It returns false if the
// call is refused.
func (overload *overload) choose(call *overloadCall) bool {
	upstream, wait := overload.pick(call)
	left := call.deadline.Sub(overload.now) / 2
	if upstream == nil || wait > left || call.asks >= maxAsks {
		return false
	}
	call.upstream = upstream
	limit, informed := call.node.announcer.RejectionLimit(overload.now, overloadService)
	if !limit.InForce() && informed {
		overload.send(call)
		return true
	}
	call.asks++
	overload.asks++
	patience := time.Duration(0)
	if wait > 0 || call.asks == maxAsks {
		patience = left
	}
	call.ask = call.node.throttler.sendAsk(overload.now, overload.need(call, patience))
	call.askUntil = overload.now.Add(answerTimeout)
	return true
}

// pick returns a random upstream that is not withheld, or the one that is withheld for the shortest
// time.
func (overload *overload) pick(call *overloadCall) (best *boundedUpstream, wait time.Duration) {
	offset := overload.world.random.IntN(len(overload.upstreams))
	for index := range overload.upstreams {
		upstream := overload.upstreams[(index+offset)%len(overload.upstreams)]
		if slices.Contains(call.tried, upstream) {
			continue
		}
		left := max(call.node.withheld[upstream.start].Sub(overload.now), 0)
		if best == nil || left < wait {
			best, wait = upstream, left
		}
		if wait == 0 {
			break
		}
	}
	return best, wait
}

func (overload *overload) send(call *overloadCall) {
	overload.sent++
	call.sentAt, call.arrivesAt = overload.now, overload.now.Add(tick)
}

// awaitPermit processes the decision on the ask of a call.
func (overload *overload) awaitPermit(call *overloadCall) {
	node, ask := call.node, call.ask
	after := answerTimeout
	select {
	case answer := <-ask.answers:
		switch answer.Verdict {
		case messenger.PermitQueued:
			call.askUntil = overload.now.Add(ask.need.Patience + answerTimeout)
			return
		case messenger.PermitGranted:
			call.holding = node.throttler.hold(overload.now, ask, answer.After)
			node.throttler.forgetAsk(ask)
			call.ask = nil
			overload.send(call)
			return
		case messenger.PermitNeedless:
			node.throttler.forgetAsk(ask)
			call.ask = nil
			overload.send(call)
			return
		case messenger.PermitDenied:
			after = answer.After
		}
	default:
		if overload.now.Before(call.askUntil) {
			return
		}
		node.throttler.unanswered(overload.now, ask, false)
	}
	node.throttler.forgetAsk(ask)
	node.withheld[call.upstream.start] = overload.now.Add(after)
	call.ask, call.upstream = nil, nil
}

// arrive delivers a call to its upstream.
func (overload *overload) arrive(call *overloadCall) {
	upstream := call.upstream
	call.arrivesAt = time.Time{}
	switch {
	case overload.now.Before(upstream.downUntil):
		call.node.withheld[upstream.start] = overload.now.Add(500 * time.Millisecond)
		overload.retry(call, issuer.Unused)
	case len(upstream.calls) < upstream.slots+upstream.places:
		upstream.calls = append(upstream.calls, call)
	default:
		upstream.rejections = append(upstream.rejections, overload.now)
		if overload.tolerated > 0 && overload.since() > announceTime && upstream.rejectedSince(overload.now.Add(-time.Second)) > overload.tolerated {
			upstream.falls++
			overload.crash(upstream)
		}
		overload.retry(call, issuer.Rejected)
	}
}

// retry ends a send of a call, which is sent to another upstream once.
func (overload *overload) retry(call *overloadCall, outcome issuer.Outcome) {
	overload.answer(call, outcome)
	if len(call.tried) == 0 {
		*call = overloadCall{node: call.node, phase: call.phase, deadline: call.deadline, tried: []*boundedUpstream{call.upstream}}
	}
}

// crash ends an upstream and its requests.
func (overload *overload) crash(upstream *boundedUpstream) {
	upstream.downUntil = overload.now.Add(overloadDowntime)
	upstream.start.Incarnation++
	for _, call := range upstream.calls {
		overload.answer(call, issuer.Unused)
	}
	upstream.calls = nil
}

func (upstream *boundedUpstream) rejectedSince(from time.Time) int {
	count := 0
	for _, at := range upstream.rejections {
		if at.After(from) {
			count++
		}
	}
	return count
}

// falls returns how often upstreams crashed, and the largest number of rejections of one within a
// second.
func (overload *overload) falls() (falls, mostRejected int) {
	for _, upstream := range overload.upstreams {
		falls += upstream.falls
		mostRejected = max(mostRejected, measurer.MaxInWindow(upstream.rejections, time.Second))
	}
	return falls, mostRejected
}

// servedShares returns the shares of the requests that were served, by phase.
func (overload *overload) servedShares() [3]float64 {
	var shares [3]float64
	for phase := range shares {
		shares[phase] = float64(overload.served[phase]) / float64(max(overload.offered[phase], 1))
	}
	return shares
}
