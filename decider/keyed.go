package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	retryAfterAway = 2 * time.Second
	retryAfterFull = 5 * time.Second
	// claimElsewhere says that the key is bound to another process.
	claimElsewhere messenger.ClaimVerdict = "elsewhere"
)

// claimWanted asks for the claim on a request's key.
type claimWanted struct {
	request      definer.RequestID
	organisation definer.OrganisationName
	key          string
	bodyHash     string
	// localKeys says that the rule lets keys bound to a process run.
	localKeys bool
	// forwarded says that another process handed the call on to this one.
	forwarded bool
	// remaining is the time to the request's deadline; 0 is no deadline.
	remaining time.Duration
}

// claimDecided tells what a claim came to.
type claimDecided struct {
	request definer.RequestID
	verdict messenger.ClaimVerdict
	// answer is set with ClaimReplay.
	answer *messenger.KeptAnswer
	// startBy is the time after which a granted request must not be started.
	startBy time.Time
	// holder is set with claimElsewhere.
	holder definer.Member
	// offer is a key that the caller may use in place of a refused one.
	offer string
	// unused says that no process ever runs a request under the key.
	unused bool
}

// claimEnded tells how a request ended that claimed a key.
type claimEnded struct {
	request definer.RequestID
	outcome definer.Outcome
	answer  *StoredAnswer
}

func (claimWanted) isEvent()  {}
func (claimDecided) isEvent() {}
func (claimEnded) isEvent()   {}

// keyed tells whether the request runs at most once for its key.
func (request *request) keyed() bool {
	return request.key != "" && request.rule.Repeat() == definer.Keyed
}

// claim asks for the claim on the request's key; nothing else happens before.
func (requester *requester) claim(request *request, forwarded bool) {
	request.state = claiming
	requester.notify(claimWanted{
		request:      request.id,
		organisation: request.organisation,
		key:          request.key,
		bodyHash:     request.bodyHash,
		localKeys:    request.rule.LocalKeys(),
		forwarded:    forwarded,
		remaining:    request.remaining(requester.now),
	})
}

// claimed goes on with a request whose claim is decided.
func (requester *requester) claimed(event claimDecided) {
	request, ok := requester.requests[event.request]
	if !ok || request.state != claiming {
		return
	}
	switch event.verdict {
	case messenger.ClaimGranted:
		request.claimed = true
		request.startBy = event.startBy
		request.untried = requester.candidates(request)
		requester.next(request, messenger.NoUpstream, retryAfterBusy)
	case messenger.ClaimReplay:
		requester.act(ReplayAnswer{Request: request.id, Answer: StoredAnswer(*event.answer)})
		requester.close(request, Record{Complete: true, Met: requester.met(request, AttemptEnded{}), Outcome: definer.Ran})
	case claimElsewhere:
		requester.forward(request, event.holder)
	default:
		request.offer = event.offer
		request.told = toldOf(event)
		requester.refuse(request, reasonOf(event.verdict), retryAfterOf(event.verdict))
	}
}

// toldOf returns the outcome of a request whose claim was not granted. It is
// about the key, not about this sending of it: the caller may have sent it
// before.
func toldOf(event claimDecided) definer.Outcome {
	switch {
	case event.verdict == messenger.ClaimUnkept:
		return definer.Ran
	case event.verdict == messenger.ClaimMismatch || event.unused:
		return definer.NotRun
	default:
		return definer.Unknown
	}
}

func reasonOf(verdict messenger.ClaimVerdict) messenger.RefusalReason {
	reasons := map[messenger.ClaimVerdict]messenger.RefusalReason{
		messenger.ClaimInUse:    messenger.KeyInUse,
		messenger.ClaimMismatch: messenger.KeyMismatch,
		messenger.ClaimUnkept:   messenger.AnswerNotKept,
		messenger.ClaimUnknown:  messenger.KeyUnknown,
		messenger.ClaimFull:     messenger.ClaimsFull,
		messenger.ClaimExpired:  messenger.KeyExpired,
		messenger.ClaimAway:     messenger.PlatformAway,
	}
	return reasons[verdict]
}

func retryAfterOf(verdict messenger.ClaimVerdict) time.Duration {
	waits := map[messenger.ClaimVerdict]time.Duration{
		messenger.ClaimInUse: retryAfterBusy,
		messenger.ClaimFull:  retryAfterFull,
		messenger.ClaimAway:  retryAfterAway,
	}
	return waits[verdict]
}

// forward hands a call on to the one process that may run it.
func (requester *requester) forward(request *request, holder definer.Member) {
	address, ok := requester.roster.address(holder.VM)
	if !ok {
		requester.refuse(request, messenger.KeyHolderAway, retryAfterAway)
		return
	}
	request.state = forwarding
	requester.act(ForwardCall{Request: request.id, To: holder.VM, Address: address, Remaining: request.remaining(requester.now)})
}

// forwarded closes a request that was handed on. Its holder counts it.
func (requester *requester) forwarded(event CallForwarded) {
	request, ok := requester.requests[event.Request]
	if !ok || request.state != forwarding {
		return
	}
	if !event.Answered {
		requester.refuse(request, messenger.KeyHolderAway, retryAfterAway)
		return
	}
	delete(requester.requests, request.id)
	requester.act(FinishRequest{Request: request.id})
}

// late tells whether a request's claim is too old to be started on.
func (request *request) late(now time.Time) bool {
	return !request.startBy.IsZero() && !now.Before(request.startBy)
}

// beforeClaim returns what may be told of a request that is refused before its
// key was looked at: one with a key may have run when it was sent before.
func beforeClaim(key string) definer.Outcome {
	if key != "" {
		return definer.Unknown
	}
	return definer.NotRun
}
