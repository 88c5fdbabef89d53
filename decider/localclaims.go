package decider

import (
	"limpetcleat/claimer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// beginLocal decides the claim on a key that a process has issued. Only that
// process ever runs a request under the key; every other process forwards the
// call to it, and to no one else.
func (claims *claims) beginLocal(event claimRequested) {
	decided := claimDecided{request: event.request, verdict: messenger.ClaimExpired}
	key, ok := claimer.ParseLocalKey(event.key)
	switch {
	case !ok:
		decided.unused = true
	case key.Holder() == claims.self:
		decided.verdict, decided.answer = claims.takeLocal(event, key)
	case key.Holder().VM == claims.self.VM || event.forwarded:
		// The process that the key was bound to has ended.
		decided.verdict = messenger.ClaimUnknown
	default:
		decided.verdict = claimElsewhere
		decided.holder = key.Holder()
	}
	claims.enqueue(decided)
}

// takeLocal claims a key in this process's own table.
func (claims *claims) takeLocal(event claimRequested, key claimer.LocalKey) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
	claim := &claim{request: event.request, keyHash: claimer.KeyHash(event.organisation, event.key), bodyHash: event.bodyHash, phase: taken, local: true}
	verdict, answer := claims.local.Claim(claims.now, key, claim.operation(claims.self), event.localKeys)
	if verdict == messenger.ClaimGranted {
		claims.held[claim.request] = claim
	}
	return verdict, answer
}

// endLocal records the end of a request in this process's own table.
func (claims *claims) endLocal(claim *claim, step messenger.ClaimStep, answer *messenger.KeptAnswer) {
	operation := claim.operation(claims.self)
	operation.Step = step
	operation.Answer = answer
	claims.local.Settle(claims.now, operation)
	claims.drop(claim)
}

// operation returns the claim as an operation on the claimer's tables.
func (claim *claim) operation(holder definer.Member) claimer.Operation {
	ask := messenger.ClaimAsk{Step: messenger.TakeClaim, KeyHash: claim.keyHash, BodyHash: claim.bodyHash, Request: claim.request}
	return claimer.Operation{ClaimAsk: ask, Holder: holder}
}
