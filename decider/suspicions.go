package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

const (
	suspicionComponent = "suspicion"
	// noticeBatchDelay is how long facts are collected before they are sent:
	// when an upstream ends, its requests break off within milliseconds.
	noticeBatchDelay = 100 * time.Millisecond
	// noticeCheckInterval is the time between two checks for new facts while
	// none is to be sent.
	noticeCheckInterval = time.Second
)

// suspicions tracks the requests that make upstreams end and shares them with
// other members. In each data centre one member, the relay, collects what the
// others there have found, and sends it to the relays of the other data centres
// and to all its members. The requester owns it.
type suspicions struct {
	*core
	quarantiner *quarantiner.Quarantiner
	// timerDue is when the timer is due; zero while it is not set.
	timerDue time.Time
}

func newSuspicions(core *core) *suspicions {
	suspicions := &suspicions{core: core}
	suspicions.quarantiner = quarantiner.New(
		quarantiner.WithVerdicts(
			func(held quarantiner.Suspicion) { core.log(EventHeldOff, held.Pairs()...) },
			func(released quarantiner.Suspicion, why quarantiner.ReleaseReason) {
				core.log(EventReleased, append(released.Pairs(), "why", why)...)
			},
		),
		quarantiner.WithoutRefreshToAggregator(),
	)
	return suspicions
}

// handleAttemptEnd records how an attempt ended.
func (suspicions *suspicions) handleAttemptEnd(request *request, event AttemptEnded) {
	switch {
	case event.UpstreamEnded && request.upstream != nil && !request.upstream.Leaving():
		suspicions.quarantiner.RecordCrash(suspicions.now, definer.UpstreamStart{Upstream: request.upstream.Name()}, request.identity)
	case event.Result == AttemptComplete:
		suspicions.quarantiner.RecordServed(suspicions.now, request.identity)
	}
	suspicions.armNextTimer()
}

// mayRetry reports whether a request may be sent again after a failed attempt.
func (suspicions *suspicions) mayRetry(request *request, event AttemptEnded) bool {
	return !event.UpstreamEnded || suspicions.quarantiner.MayRepeat(request.identity)
}

// lift allows a request to be sent again that was held off.
func (suspicions *suspicions) lift(identity definer.RequestIdentity) {
	suspicions.quarantiner.Lift(suspicions.now, identity)
	suspicions.armNextTimer()
}

// learn records what a member reported.
func (suspicions *suspicions) learn(from definer.Member, notice *messenger.FallNotice) {
	suspicions.quarantiner.Learn(suspicions.now, from.VM, notice.Scope, notice.Falls)
	suspicions.armNextTimer()
}

// armTimer sets the timer if there are suspicions and it is not already due
// sooner.
func (suspicions *suspicions) armTimer(wait time.Duration) {
	due := suspicions.now.Add(wait)
	sooner := suspicions.timerDue.IsZero() || due.Before(suspicions.timerDue)
	if !sooner || suspicions.quarantiner.SuspectCount() == 0 {
		return
	}
	suspicions.timerDue = due
	suspicions.setTimer(suspicionComponent, "", wait)
}

// armNextTimer sets the timer for facts still to be sent, or else for the next
// check.
func (suspicions *suspicions) armNextTimer() {
	if suspicions.quarantiner.HasPendingFacts() {
		suspicions.armTimer(noticeBatchDelay)
		return
	}
	suspicions.armTimer(noticeCheckInterval)
}

// handleTimer sends the collected facts.
func (suspicions *suspicions) handleTimer() {
	suspicions.timerDue = time.Time{}
	relay, _ := suspicions.relay(suspicions.dataCentre)
	up := suspicions.newNotice(messenger.MemberLoad)
	over := suspicions.newNotice(messenger.GroupLoad)
	down := suspicions.newNotice(messenger.FleetLoad)
	if relay != suspicions.self.VM {
		suspicions.sendTo(relay, up)
	} else {
		suspicions.sendAsRelay(over, down)
	}
	suspicions.armNextTimer()
}

// sendAsRelay sends facts to the relays of the other data centres and to the
// members of this one.
func (suspicions *suspicions) sendAsRelay(over, down *messenger.FallNotice) {
	for _, dataCentre := range suspicions.roster.dataCentres() {
		if relay, ok := suspicions.relay(dataCentre); ok && dataCentre != suspicions.dataCentre {
			suspicions.sendTo(relay, over)
		}
	}
	for _, member := range suspicions.roster.peers(suspicions.dataCentre) {
		if member != suspicions.self.VM {
			suspicions.sendTo(member, down)
		}
	}
}

// newNotice returns the notice to members of the scope, or nil if there is
// nothing to send.
func (suspicions *suspicions) newNotice(scope messenger.LoadScope) *messenger.FallNotice {
	falls := suspicions.quarantiner.NextReport(suspicions.now, scope)
	if len(falls) == 0 {
		return nil
	}
	return &messenger.FallNotice{Scope: scope, Falls: falls}
}

func (suspicions *suspicions) sendTo(vm definer.VM, notice *messenger.FallNotice) {
	if notice != nil && vm != "" {
		suspicions.send(vm, notice)
	}
}

// relay returns the relay of a data centre, as this node sees its members.
func (suspicions *suspicions) relay(dataCentre definer.DataCentre) (definer.VM, bool) {
	return suspicions.roster.owner(messenger.Shard{DataCentre: dataCentre, Pool: suspicionComponent})
}

// holdOff refuses a request that is held off, or makes it wait while that is
// not decided, and reports whether it did either.
func (requester *requester) holdOff(request *request) bool {
	verdict := requester.suspicions.quarantiner.Check(requester.now, request.identity)
	switch {
	case verdict.HeldFor == 0:
		return false
	case verdict.RecheckAfter == 0:
		requester.refuse(request, messenger.HeldOff, verdict.HeldFor)
		return true
	}
	request.state = settling
	requester.setAskTimer(request, verdict.RecheckAfter)
	return true
}
