package decider

import (
	"slices"
	"time"

	"limpetcleat/claimer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	claimsComponent = "claim"
	// claimRetryInterval is how long a claim waits for any answer of the
	// bucket's writer before the next writer, and finally this node, is asked
	// to write it.
	claimRetryInterval = 150 * time.Millisecond
	// queuedClaimRetryInterval is that time once the writer has said that it
	// queued the claim.
	queuedClaimRetryInterval = 2 * time.Second
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 3 * time.Second
	// storeTimeout is how long storing the end of a claimed request is retried.
	storeTimeout = 10 * time.Minute
	// freeTimeout is that time for a request that was given up before it ran.
	freeTimeout = 10 * time.Second
	// drainStoreTimeout is that time while the node stops.
	drainStoreTimeout = 5 * time.Second
	// storeRetryInterval is the retry interval of steps that no request waits
	// for.
	storeRetryInterval = 2 * time.Second
	// maxRankedWriters is how many members by rank are asked before this node
	// itself.
	maxRankedWriters = 2
	// outageBackoff is how long calls with a key are refused at once after a
	// claim timed out without any answer from the platform. The next call then
	// tries again.
	outageBackoff = time.Second
	// maxClaims bounds the claims that one node holds.
	maxClaims = 8192
	// minClaimRetention is the shortest time for which a claim is remembered.
	minClaimRetention = time.Minute
	// claimsPool takes the place of a pool name when the writers of the buckets
	// are ranked.
	claimsPool = "claims"
)

// claimPhase is the state of a claim.
type claimPhase int

const (
	// taking claims wait for their verdict; their request must not run yet.
	taking claimPhase = iota
	// taken claims belong to a request that may run.
	taken
	// storing claims belong to a request that is over; its end is being stored.
	storing
)

// claim is a claim on one key by a request of this node.
type claim struct {
	request  definer.RequestID
	keyHash  string
	bodyHash string
	phase    claimPhase
	// local claims are in this process's own table and not on the platform.
	local bool
	// timeout bounds the wait for the claim.
	timeout time.Duration
	// offersLocalKey reports that a refusal may offer a key bound to this
	// process.
	offersLocalKey bool
	// ask is the message that is sent until it is answered.
	ask messenger.ClaimAsk
	// askedAt is when ask was first sent.
	askedAt time.Time
	// tries counts how often ask was sent.
	tries int
}

// claims takes and ends the claims of this node's own requests. A request
// continues only once its record is known to be stored.
type claims struct {
	*core
	// held holds each claim until its end is stored; core.openClaims is its
	// size.
	held map[definer.RequestID]*claim
	// byKey holds, by key hash, the request of the one claim of this node on a
	// key.
	byKey map[string]definer.RequestID
	// local is nil until the start.
	local *claimer.Local
	// platformHeardAt is when a writer last reported what the platform holds.
	platformHeardAt time.Time
	// outageUntil is the time until which the platform is assumed to be
	// unavailable.
	outageUntil time.Time
}

func newClaims(core *core) *claims {
	return &claims{core: core, held: make(map[definer.RequestID]*claim), byKey: make(map[string]definer.RequestID)}
}

func (claims *claims) priority() int { return claimsPriority }

func (claims *claims) handle(event Event) {
	switch event := event.(type) {
	case started:
		claims.local = claimer.NewLocal(claims.self, claims.now, claims.seed)
	case KeyRequested:
		claims.emit(KeyIssued{Request: event.Request, Key: claims.issueLocalKey()})
	case claimRequested:
		claims.begin(event)
	case claimEnded:
		claims.handleRequestEnd(event)
	case MessageReceived:
		if answer, ok := event.Message.(*messenger.ClaimAnswer); ok {
			claims.handleAnswer(answer)
		}
	case TimerFired:
		if event.Key.Component == claimsComponent {
			claims.handleTimer(definer.RequestID(event.Key.ID))
		}
	}
	claims.core.openClaims = len(claims.held)
}

// begin starts a claim, or decides it at once.
func (claims *claims) begin(event claimRequested) {
	if claimer.IsLocalKey(event.key) {
		claims.beginLocal(event)
		return
	}
	keyHash := claimer.KeyHash(event.organisation, event.key)
	if other, ok := claims.byKey[keyHash]; ok {
		verdict, answer := claims.held[other].repeatVerdict(event.bodyHash)
		claims.enqueue(claimDecided{request: event.request, verdict: verdict, answer: answer})
		return
	}
	if claims.now.Before(claims.outageUntil) {
		claims.enqueue(claims.platformAway(event.request, event.localKeys))
		return
	}
	if len(claims.held) >= maxClaims {
		claims.enqueue(claimDecided{request: event.request, verdict: messenger.ClaimFull})
		return
	}
	claim := &claim{request: event.request, keyHash: keyHash, bodyHash: event.bodyHash, offersLocalKey: event.localKeys, timeout: claimTimeout}
	if event.remaining > 0 {
		claim.timeout = min(claimTimeout, event.remaining)
	}
	claims.held[claim.request] = claim
	claims.byKey[keyHash] = claim.request
	claims.beginStep(claim, messenger.TakeClaim, nil)
}

// repeatVerdict returns the verdict on a second request under the claim's key.
func (claim *claim) repeatVerdict(bodyHash string) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
	switch {
	case claim.bodyHash != bodyHash:
		return messenger.ClaimMismatch, nil
	case claim.ask.Step == messenger.FinishClaim && claim.ask.Answer != nil:
		return messenger.ClaimReplay, claim.ask.Answer
	case claim.ask.Step == messenger.FinishClaim:
		return messenger.ClaimUnkept, nil
	case claim.ask.Step == messenger.AbandonClaim:
		return messenger.ClaimUnknown, nil
	default:
		return messenger.ClaimInUse, nil
	}
}

// beginStep sends a step to the writer of the key's bucket for the first time.
func (claims *claims) beginStep(claim *claim, step messenger.ClaimStep, answer *messenger.KeptAnswer) {
	claim.ask = messenger.ClaimAsk{Step: step, KeyHash: claim.keyHash, BodyHash: claim.bodyHash, Request: claim.request, Answer: answer}
	claim.askedAt = claims.now
	claim.tries = 0
	claims.sendStep(claim)
}

// writers returns the members that may be asked to write a key's bucket, in
// order: the first two by rank in the whole system, so that the steps of many
// nodes share one write and writers seldom conflict, then this node itself.
func (claims *claims) writers(keyHash string) []definer.VM {
	ranked := claims.roster.ranked(messenger.Shard{Pool: claimsPool, Index: claimer.BucketOf(keyHash)})
	ranked = ranked[:min(len(ranked), maxRankedWriters)]
	if !slices.Contains(ranked, claims.self.VM) {
		ranked = append(ranked, claims.self.VM)
	}
	return ranked
}

// sendStep sends the claim's step to the next writer.
func (claims *claims) sendStep(claim *claim) {
	writers := claims.writers(claim.keyHash)
	writer := writers[min(claim.tries, len(writers)-1)]
	claim.tries++
	claims.setRetryTimer(claim, claimRetryInterval)
	ask := claim.ask
	claims.core.send(writer, &ask)
}

// setRetryTimer sets the claim's timer, at the latest at the end of the claim's
// timeout.
func (claims *claims) setRetryTimer(claim *claim, gap time.Duration) {
	if claim.phase == storing {
		gap = storeRetryInterval
	} else {
		gap = min(gap, claim.askedAt.Add(claim.timeout).Sub(claims.now))
	}
	claims.setTimer(claimsComponent, string(claim.request), gap)
}

// handleAnswer handles a writer's answer.
func (claims *claims) handleAnswer(answer *messenger.ClaimAnswer) {
	if answer.Verdict != messenger.ClaimAway && answer.Verdict != messenger.ClaimQueued {
		claims.platformHeardAt = claims.now
		claims.outageUntil = time.Time{}
	}
	claim, ok := claims.held[answer.Request]
	if !ok || claim.local || claim.ask.Step != answer.Step {
		return
	}
	switch {
	case claim.phase == storing && answer.Verdict == messenger.ClaimStored:
		claims.drop(claim)
	case claim.phase != taking:
	case answer.Verdict == messenger.ClaimQueued:
		claims.setRetryTimer(claim, queuedClaimRetryInterval)
	case answer.Verdict == messenger.ClaimGranted:
		claim.phase = taken
		claims.clearTimer(claimsComponent, string(claim.request))
		claims.enqueue(claimDecided{request: claim.request, verdict: answer.Verdict, startBy: claim.askedAt.Add(claims.claimRetention() / 2)})
	case answer.Verdict == messenger.ClaimAway && claim.tries <= maxRankedWriters && claims.now.Sub(claim.askedAt) < claim.timeout:
		claims.sendStep(claim)
	case answer.Verdict == messenger.ClaimAway:
		claims.giveUp(claim)
	default:
		claims.enqueue(claimDecided{request: claim.request, verdict: answer.Verdict, answer: answer.Answer})
		claims.endLost(claim)
	}
}

// endLost ends a claim that another request won. If a second writer was asked,
// it may still write a record for this request, so the claim is freed.
func (claims *claims) endLost(claim *claim) {
	if claim.tries > 1 {
		claims.storeEnd(claim, messenger.FreeClaim, nil)
		return
	}
	claims.drop(claim)
}

// handleTimer sends a step again, or gives it up.
func (claims *claims) handleTimer(request definer.RequestID) {
	claim, ok := claims.held[request]
	if !ok || claim.phase == taken {
		return
	}
	waited := claims.now.Sub(claim.askedAt)
	switch {
	case claim.phase == taking && waited >= claim.timeout:
		claims.giveUp(claim)
	case claim.phase == storing && waited >= claims.storeWithin(claim):
		claims.log(EventClaimNotStored, "request", claim.request, "step", claim.ask.Step)
		claims.drop(claim)
	default:
		claims.sendStep(claim)
	}
}

// storeWithin returns how long storing the end of a claim is retried.
func (claims *claims) storeWithin(claim *claim) time.Duration {
	switch {
	case claims.draining:
		return drainStoreTimeout
	case claim.ask.Step == messenger.FreeClaim:
		return freeTimeout
	default:
		return storeTimeout
	}
}

// giveUp ends a claim that could not be confirmed. Its request never runs, so a
// record that was written nevertheless is freed.
func (claims *claims) giveUp(claim *claim) {
	if claims.platformHeardAt.Before(claim.askedAt) {
		claims.outageUntil = claims.now.Add(outageBackoff)
	}
	claims.log(EventClaimGivenUp, "request", claim.request)
	claims.storeEnd(claim, messenger.FreeClaim, nil)
	claims.enqueue(claims.platformAway(claim.request, claim.offersLocalKey))
}

// platformAway returns the refusal of a request whose key cannot be claimed,
// with a key bound to this process if the rule allows that.
func (claims *claims) platformAway(request definer.RequestID, offers bool) claimDecided {
	decided := claimDecided{request: request, verdict: messenger.ClaimAway}
	if offers {
		decided.offeredKey = claims.issueLocalKey()
	}
	return decided
}

// issueLocalKey returns a key bound to this process, or an empty one while the
// node stops.
func (claims *claims) issueLocalKey() string {
	if claims.draining {
		return ""
	}
	return claims.local.Issue(claims.now).String()
}

// storeEnd starts to store how the claim's request ended.
func (claims *claims) storeEnd(claim *claim, step messenger.ClaimStep, answer *messenger.KeptAnswer) {
	claim.phase = storing
	claims.beginStep(claim, step, answer)
	if step == messenger.FreeClaim {
		// Every writer that may still hold the claim's first step must see the
		// step that frees it.
		for range maxRankedWriters {
			claims.sendStep(claim)
		}
	}
}

// handleRequestEnd records how a request that claimed a key has ended.
func (claims *claims) handleRequestEnd(event claimEnded) {
	claim, ok := claims.held[event.request]
	if !ok || claim.phase == storing {
		return
	}
	step := messenger.AbandonClaim
	var answer *messenger.KeptAnswer
	switch {
	case claim.phase == taking || event.outcome == definer.NotRun:
		step = messenger.FreeClaim
	case event.outcome == definer.Ran:
		step = messenger.FinishClaim
		answer = claimer.StorableAnswer((*messenger.KeptAnswer)(event.answer))
	}
	if claim.local {
		claims.endLocal(claim, step, answer)
		return
	}
	claims.storeEnd(claim, step, answer)
}

func (claims *claims) drop(claim *claim) {
	delete(claims.held, claim.request)
	if claims.byKey[claim.keyHash] == claim.request {
		delete(claims.byKey, claim.keyHash)
	}
	claims.clearTimer(claimsComponent, string(claim.request))
}

// claimRetention returns how long a claim is remembered after its request has
// ended.
func (core *core) claimRetention() time.Duration {
	if core.configuration == nil || core.configuration.ClaimKeep() == 0 {
		return claimer.DefaultRetention
	}
	return max(core.configuration.ClaimKeep(), minClaimRetention)
}
