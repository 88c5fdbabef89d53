package decider

import (
	"slices"
	"time"

	"limpetcleat/claimer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	claimsPart = "claim"
	// takeAgainAfter is how long a claim waits for any word of the bucket's
	// writer before this node writes it itself.
	takeAgainAfter = 150 * time.Millisecond
	// queuedTakeAgainAfter is the same once the writer said that it has it.
	queuedTakeAgainAfter = 2 * time.Second
	// takeWithin bounds the wait for a claim.
	takeWithin = 3 * time.Second
	// storeFor is how long the end of a claimed request is tried to be stored.
	storeFor = 10 * time.Minute
	// freeFor is the same for a request that was given up before it ran.
	freeFor = 10 * time.Second
	// storeForDrain is the same while the node stops.
	storeForDrain = 5 * time.Second
	// storeGap is how long a step that nobody waits for may take.
	storeGap = 2 * time.Second
	// rankedWriters is how many members by rank are asked before this node.
	rankedWriters = 2
	// awayFor is how long calls with a key are refused at once after a claim
	// was given up that heard nothing of the platform. The next one then tries.
	awayFor = time.Second
	// maxClaims bounds the claims of one node.
	maxClaims = 8192
	// minKeep bounds how soon a claim may be forgotten.
	minKeep = time.Minute
	// claimsPool takes the place of a pool when the buckets' writers are ranked.
	claimsPool = "claims"
)

// claimPhase tells how far a claim is.
type claimPhase int

const (
	// taking claims wait for their verdict; their request must not run.
	taking claimPhase = iota
	// taken claims belong to a request that may run.
	taken
	// storing claims belong to a request that is over.
	storing
)

// claim is one key that a request of this node claims or holds.
type claim struct {
	request  definer.RequestID
	keyHash  string
	bodyHash string
	phase    claimPhase
	// local claims are in this process's own table and nowhere else.
	local bool
	// patience bounds the wait for the claim.
	patience time.Duration
	// offers says that a refusal may offer a key bound to this process.
	offers bool
	// ask is the message that is sent until it is answered.
	ask messenger.ClaimAsk
	// since is when ask was first sent.
	since time.Time
	// tries counts how often ask was sent.
	tries int
}

// claims leads the claims of this node's own requests. A request is told to go
// on only once its own record is known to stand.
type claims struct {
	*core
	// held holds each claim until its end is stored; core.claims is its size.
	held map[definer.RequestID]*claim
	// byKey holds the one claim of this node on a key.
	byKey map[string]definer.RequestID
	// local is nil before the start.
	local *claimer.Local
	// heard is when a writer last told what the platform holds.
	heard time.Time
	// awayUntil is the end of a while in which the platform counts as away.
	awayUntil time.Time
}

func newClaims(core *core) *claims {
	return &claims{core: core, held: make(map[definer.RequestID]*claim), byKey: make(map[string]definer.RequestID)}
}

func (claims *claims) priority() int { return claimsPriority }

func (claims *claims) handle(event Event) {
	switch event := event.(type) {
	case started:
		claims.local = claimer.NewLocal(claims.self, claims.now, claims.seed)
	case KeyWanted:
		claims.act(KeyIssued{Request: event.Request, Key: claims.offer()})
	case claimWanted:
		claims.want(event)
	case claimEnded:
		claims.end(event)
	case MessageReceived:
		if answer, ok := event.Message.(*messenger.ClaimAnswer); ok {
			claims.answered(answer)
		}
	case TimerFired:
		if event.Key.Part == claimsPart {
			claims.fired(definer.RequestID(event.Key.ID))
		}
	}
	claims.core.claims = len(claims.held)
}

// want begins a claim, or tells at once what it comes to.
func (claims *claims) want(event claimWanted) {
	if claimer.IsLocal(event.key) {
		claims.wantLocal(event)
		return
	}
	keyHash := claimer.KeyHash(event.organisation, event.key)
	if other, ok := claims.byKey[keyHash]; ok {
		verdict, answer := claims.held[other].seen(event.bodyHash)
		claims.notify(claimDecided{request: event.request, verdict: verdict, answer: answer})
		return
	}
	if claims.now.Before(claims.awayUntil) {
		claims.notify(claims.away(event.request, event.localKeys))
		return
	}
	if len(claims.held) >= maxClaims {
		claims.notify(claimDecided{request: event.request, verdict: messenger.ClaimFull})
		return
	}
	claim := &claim{request: event.request, keyHash: keyHash, bodyHash: event.bodyHash, offers: event.localKeys, patience: takeWithin}
	if event.remaining > 0 {
		claim.patience = min(takeWithin, event.remaining)
	}
	claims.held[claim.request] = claim
	claims.byKey[keyHash] = claim.request
	claims.ask(claim, messenger.TakeClaim, nil)
}

// seen tells what a second request under the claim's key comes to.
func (claim *claim) seen(bodyHash string) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
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

// ask sends a step to the writer of the key's bucket for the first time.
func (claims *claims) ask(claim *claim, step messenger.ClaimStep, answer *messenger.KeptAnswer) {
	claim.ask = messenger.ClaimAsk{Step: step, KeyHash: claim.keyHash, BodyHash: claim.bodyHash, Request: claim.request, Answer: answer}
	claim.since = claims.now
	claim.tries = 0
	claims.sendAsk(claim)
}

// writers returns who may be asked to write a key's bucket, in order: the first
// two members by rank in the whole system, so that the steps of many nodes ride
// on one write and writers seldom meet, then this node itself.
func (claims *claims) writers(keyHash string) []definer.VM {
	ranked := claims.roster.ranked(messenger.Shard{Pool: claimsPool, Index: claimer.BucketOf(keyHash)})
	ranked = ranked[:min(len(ranked), rankedWriters)]
	if !slices.Contains(ranked, claims.self.VM) {
		ranked = append(ranked, claims.self.VM)
	}
	return ranked
}

// sendAsk sends the claim's step to the next writer.
func (claims *claims) sendAsk(claim *claim) {
	writers := claims.writers(claim.keyHash)
	writer := writers[min(claim.tries, len(writers)-1)]
	claim.tries++
	claims.wakeAfter(claim, takeAgainAfter)
	ask := claim.ask
	claims.core.send(writer, &ask)
}

// wakeAfter sets the claim's timer, which never passes the bound on its wait.
func (claims *claims) wakeAfter(claim *claim, gap time.Duration) {
	if claim.phase == storing {
		gap = storeGap
	} else {
		gap = min(gap, claim.since.Add(claim.patience).Sub(claims.now))
	}
	claims.after(claimsPart, string(claim.request), gap)
}

// answered deals with a writer's answer.
func (claims *claims) answered(answer *messenger.ClaimAnswer) {
	if answer.Verdict != messenger.ClaimAway && answer.Verdict != messenger.ClaimQueued {
		claims.heard = claims.now
		claims.awayUntil = time.Time{}
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
		claims.wakeAfter(claim, queuedTakeAgainAfter)
	case answer.Verdict == messenger.ClaimGranted:
		claim.phase = taken
		claims.clear(claimsPart, string(claim.request))
		claims.notify(claimDecided{request: claim.request, verdict: answer.Verdict, startBy: claim.since.Add(claims.keep() / 2)})
	case answer.Verdict == messenger.ClaimAway && claim.tries <= rankedWriters && claims.now.Sub(claim.since) < claim.patience:
		claims.sendAsk(claim)
	case answer.Verdict == messenger.ClaimAway:
		claims.giveUp(claim)
	default:
		claims.notify(claimDecided{request: claim.request, verdict: answer.Verdict, answer: answer.Answer})
		claims.yield(claim)
	}
}

// yield ends a claim that another request won. A second writer that was asked
// may still write a record for it, which is then given back.
func (claims *claims) yield(claim *claim) {
	if claim.tries > 1 {
		claims.store(claim, messenger.FreeClaim, nil)
		return
	}
	claims.drop(claim)
}

// fired sends a step again, or gives it up.
func (claims *claims) fired(request definer.RequestID) {
	claim, ok := claims.held[request]
	if !ok || claim.phase == taken {
		return
	}
	waited := claims.now.Sub(claim.since)
	switch {
	case claim.phase == taking && waited >= claim.patience:
		claims.giveUp(claim)
	case claim.phase == storing && waited >= claims.storeWithin(claim):
		claims.log(EventClaimNotStored, "request", claim.request, "step", claim.ask.Step)
		claims.drop(claim)
	default:
		claims.sendAsk(claim)
	}
}

// storeWithin returns how long the end of a claim is tried to be stored.
func (claims *claims) storeWithin(claim *claim) time.Duration {
	switch {
	case claims.draining:
		return storeForDrain
	case claim.ask.Step == messenger.FreeClaim:
		return freeFor
	default:
		return storeFor
	}
}

// giveUp ends a claim that could not be confirmed. Its request never runs, so
// that a record that was written all the same is given back.
func (claims *claims) giveUp(claim *claim) {
	if claims.heard.Before(claim.since) {
		claims.awayUntil = claims.now.Add(awayFor)
	}
	claims.log(EventClaimGivenUp, "request", claim.request)
	claims.store(claim, messenger.FreeClaim, nil)
	claims.notify(claims.away(claim.request, claim.offers))
}

// away tells a request that its key cannot be claimed, with a key that can.
func (claims *claims) away(request definer.RequestID, offers bool) claimDecided {
	decided := claimDecided{request: request, verdict: messenger.ClaimAway}
	if offers {
		decided.offer = claims.offer()
	}
	return decided
}

// offer returns a key bound to this process, or none while it stops.
func (claims *claims) offer() string {
	if claims.draining {
		return ""
	}
	return claims.local.Issue(claims.now).String()
}

// store begins to store how the claim's request ended.
func (claims *claims) store(claim *claim, step messenger.ClaimStep, answer *messenger.KeptAnswer) {
	claim.phase = storing
	claims.ask(claim, step, answer)
	if step == messenger.FreeClaim {
		// Every writer that may still hold the claim's first step must see it.
		for range rankedWriters {
			claims.sendAsk(claim)
		}
	}
}

// end takes in how a request ended that claimed a key.
func (claims *claims) end(event claimEnded) {
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
		answer = claimer.Keepable((*messenger.KeptAnswer)(event.answer))
	}
	if claim.local {
		claims.endLocal(claim, step, answer)
		return
	}
	claims.store(claim, step, answer)
}

func (claims *claims) drop(claim *claim) {
	delete(claims.held, claim.request)
	if claims.byKey[claim.keyHash] == claim.request {
		delete(claims.byKey, claim.keyHash)
	}
	claims.clear(claimsPart, string(claim.request))
}

// keep returns how long a claim is remembered after its request has ended.
func (core *core) keep() time.Duration {
	if core.configuration == nil || core.configuration.ClaimKeep() == 0 {
		return claimer.DefaultKeep
	}
	return max(core.configuration.ClaimKeep(), minKeep)
}
