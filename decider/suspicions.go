package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

const (
	suspicionPart = "suspicion"
	// suspicionGather is how long facts are gathered before they are told: the requests of an
	// upstream that ends break off within milliseconds.
	suspicionGather = 100 * time.Millisecond
	// suspicionRefresh is the time between two looks while nothing is to be told.
	suspicionRefresh = time.Second
)

// suspicions are the requests that make upstreams end, as this node knows and tells them. In
// each data centre one member, the relay, takes in what the others there have found, tells
// the relays elsewhere and all its members. It is the requester's.
type suspicions struct {
	*core
	quarantiner *quarantiner.Quarantiner
	// due is when the timer comes due; zero while it is not set.
	due time.Time
}

func newSuspicions(core *core) *suspicions {
	suspicions := &suspicions{core: core}
	suspicions.quarantiner = quarantiner.New(
		quarantiner.WithVerdicts(
			func(held quarantiner.Suspicion) { core.log(EventHeldOff, held.Pairs()...) },
			func(released quarantiner.Suspicion, why quarantiner.Release) {
				core.log(EventReleased, append(released.Pairs(), "why", why)...)
			},
		),
		quarantiner.WithoutRefreshUp(),
	)
	return suspicions
}

// ended takes in how an attempt ended.
func (suspicions *suspicions) ended(request *request, event AttemptEnded) {
	switch {
	case event.UpstreamEnded && request.upstream != nil && !request.upstream.Leaving():
		suspicions.quarantiner.Fell(suspicions.now, definer.UpstreamStart{Upstream: request.upstream.Name()}, request.identity)
	case event.Result == Complete:
		suspicions.quarantiner.Served(suspicions.now, request.identity)
	}
	suspicions.armToTell()
}

// mayTryAgain tells whether a request may be tried again behind an attempt that failed.
func (suspicions *suspicions) mayTryAgain(request *request, event AttemptEnded) bool {
	return !event.UpstreamEnded || suspicions.quarantiner.MayRepeat(request.identity)
}

// lift lets a request be tried again.
func (suspicions *suspicions) lift(identity definer.RequestIdentity) {
	suspicions.quarantiner.Lift(suspicions.now, identity)
	suspicions.armToTell()
}

// learn takes in what a member told.
func (suspicions *suspicions) learn(from definer.Member, notice *messenger.FallNotice) {
	suspicions.quarantiner.Learn(suspicions.now, from.VM, notice.Scope, notice.Falls)
	suspicions.armToTell()
}

// arm sets the timer, if there is anything to look after and it would come due later.
func (suspicions *suspicions) arm(wait time.Duration) {
	due := suspicions.now.Add(wait)
	sooner := suspicions.due.IsZero() || due.Before(suspicions.due)
	if !sooner || suspicions.quarantiner.Count() == 0 {
		return
	}
	suspicions.due = due
	suspicions.after(suspicionPart, "", wait)
}

// armToTell sets the timer for what is still to be told, or for the next look.
func (suspicions *suspicions) armToTell() {
	if suspicions.quarantiner.IsTelling() {
		suspicions.arm(suspicionGather)
		return
	}
	suspicions.arm(suspicionRefresh)
}

// fired tells what is to be told.
func (suspicions *suspicions) fired() {
	suspicions.due = time.Time{}
	relay, _ := suspicions.relay(suspicions.dataCentre)
	up := suspicions.tell(messenger.MemberLoad)
	over := suspicions.tell(messenger.GroupLoad)
	down := suspicions.tell(messenger.FleetLoad)
	if relay != suspicions.self.VM {
		suspicions.sendTo(relay, up)
	} else {
		suspicions.relayOn(over, down)
	}
	suspicions.armToTell()
}

// relayOn tells the relays of the other data centres, and the members of this one.
func (suspicions *suspicions) relayOn(over, down *messenger.FallNotice) {
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

// tell returns what members of the scope are told, or nil for nothing.
func (suspicions *suspicions) tell(scope messenger.LoadScope) *messenger.FallNotice {
	falls := suspicions.quarantiner.Tell(suspicions.now, scope)
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
	return suspicions.roster.owner(messenger.Shard{DataCentre: dataCentre, Pool: suspicionPart})
}

// isHeldOff refuses a request that is held off, or has it wait while that is not settled, and
// tells whether it did.
func (requester *requester) isHeldOff(request *request) bool {
	verdict := requester.suspicions.quarantiner.Check(requester.now, request.identity)
	switch {
	case verdict.Left == 0:
		return false
	case verdict.Wait == 0:
		requester.refuse(request, messenger.HeldOff, verdict.Left)
		return true
	}
	request.state = settling
	requester.askAgain(request, verdict.Wait)
	return true
}
