package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	retryAfterAway = 2 * time.Second
	retryAfterFull = 5 * time.Second
	// claimElsewhere is the verdict on a key that is bound to another process.
	claimElsewhere messenger.ClaimVerdict = "elsewhere"
)

// claimRequested asks for the claim on a request's key.
type claimRequested struct {
	request      definer.RequestID
	organisation definer.OrganisationName
	key          string
	bodyHash     string
	// localKeys reports that the rule allows keys bound to a process.
	localKeys bool
	// forwarded reports that another process forwarded the call to this one.
	forwarded bool
	// remaining is the time to the request's deadline; 0 means no deadline.
	remaining time.Duration
}

// claimDecided reports the result of a claim.
type claimDecided struct {
	request definer.RequestID
	verdict messenger.ClaimVerdict
	// answer is set with ClaimReplay.
	answer *messenger.KeptAnswer
	// startBy is the time after which a granted request must not be started.
	startBy time.Time
	// holder is set with claimElsewhere.
	holder definer.Member
	// offeredKey is a key that the caller may use in place of a refused one.
	offeredKey string
	// unused reports that no process ever runs a request under the key.
	unused bool
}

// claimEnded reports how a request that claimed a key has ended.
type claimEnded struct {
	request definer.RequestID
	outcome definer.Outcome
	answer  *StoredAnswer
}

func (claimRequested) isEvent() {}
func (claimDecided) isEvent()   {}
func (claimEnded) isEvent()     {}

// keyed reports whether the request runs at most once for its key.
func (request *request) keyed() bool {
	return request.key != "" && request.rule.Repeat() == definer.Keyed
}

// requestClaim asks for the claim on the request's key. The request makes no
// other progress until the claim is decided.
func (requester *requester) requestClaim(request *request, forwarded bool) {
	request.state = claiming
	requester.enqueue(claimRequested{
		request:      request.id,
		organisation: request.organisation,
		key:          request.key,
		bodyHash:     request.bodyHash,
		localKeys:    request.rule.LocalKeys(),
		forwarded:    forwarded,
		remaining:    request.remaining(requester.now),
	})
}

// handleClaim continues or refuses a request whose claim is decided.
func (requester *requester) handleClaim(event claimDecided) {
	request, ok := requester.requests[event.request]
	if !ok || request.state != claiming {
		return
	}
	switch event.verdict {
	case messenger.ClaimGranted:
		request.claimed = true
		request.startBy = event.startBy
		request.untriedShards = requester.candidateShards(request)
		requester.askNextShard(request, messenger.NoUpstream, defaultRetryAfter)
	case messenger.ClaimReplay:
		requester.emit(ReplayAnswer{Request: request.id, Answer: StoredAnswer(*event.answer)})
		requester.close(request, Record{Complete: true, MetTargets: requester.metTargets(request, AttemptEnded{}), Outcome: definer.Ran})
	case claimElsewhere:
		requester.forward(request, event.holder)
	default:
		request.offeredKey = event.offeredKey
		request.claimOutcome = claimOutcomeOf(event)
		requester.refuse(request, reasonOf(event.verdict), retryAfterOf(event.verdict))
	}
}

// claimOutcomeOf returns the outcome of a request whose claim was not granted.
// The outcome is about the key, not about this sending of the request: the
// caller may have sent it before.
func claimOutcomeOf(event claimDecided) definer.Outcome {
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
		messenger.ClaimInUse: defaultRetryAfter,
		messenger.ClaimFull:  retryAfterFull,
		messenger.ClaimAway:  retryAfterAway,
	}
	return waits[verdict]
}

// forward forwards a call to the one process that may run it.
func (requester *requester) forward(request *request, holder definer.Member) {
	address, ok := requester.roster.address(holder.VM)
	if !ok {
		requester.refuse(request, messenger.KeyHolderAway, retryAfterAway)
		return
	}
	request.state = forwarding
	requester.emit(ForwardCall{Request: request.id, To: holder.VM, Address: address, Remaining: request.remaining(requester.now)})
}

// handleForwarded closes a request that was forwarded. The process that holds
// the key counts it.
func (requester *requester) handleForwarded(event CallForwarded) {
	request, ok := requester.requests[event.Request]
	if !ok || request.state != forwarding {
		return
	}
	if !event.Answered {
		requester.refuse(request, messenger.KeyHolderAway, retryAfterAway)
		return
	}
	delete(requester.requests, request.id)
	requester.emit(FinishRequest{Request: request.id})
}

// pastStartBy reports whether the request's claim is too old to start an
// attempt.
func (request *request) pastStartBy(now time.Time) bool {
	return !request.startBy.IsZero() && !now.Before(request.startBy)
}

// outcomeBeforeClaim returns the outcome of a request that is refused before
// its key was looked up: a request with a key may have run when it was sent
// before.
func outcomeBeforeClaim(key string) definer.Outcome {
	if key != "" {
		return definer.Unknown
	}
	return definer.NotRun
}
