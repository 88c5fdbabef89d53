package claimer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// localLife is how long after its issue a local key may be used.
	localLife = time.Hour
	// maxLocal bounds the keys in the table.
	maxLocal = 16384
	// maxLocalAnswers bounds the bytes of the answers in the table.
	maxLocalAnswers = 16 << 20
)

// Local is the table of the keys that one process handed out. It lives and
// ends with the process: no other process ever runs one of its keys.
type Local struct {
	self    definer.Member
	started time.Time
	random  *rand.Rand
	issued  uint64
	// used holds each key that was used, until it is too old to be used.
	used map[string]*localRecord
	// order holds the keys of used, oldest use first.
	order []string
	// answerBytes is the size of all answers in used.
	answerBytes int
}

// localRecord is one used key.
type localRecord struct {
	record
	// forgetAt is when the key itself is too old to be used.
	forgetAt time.Time
}

// NewLocal returns an empty table of a process that started at the time.
func NewLocal(self definer.Member, started time.Time, seed uint64) *Local {
	return &Local{
		self:    self,
		started: started,
		random:  rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		used:    make(map[string]*localRecord),
	}
}

// Issue returns a new key. It needs no room in the table until it is used.
func (local *Local) Issue(now time.Time) LocalKey {
	local.issued++
	return LocalKey{
		holder: local.self,
		issued: now.Sub(local.started),
		number: fmt.Sprintf("%d-%016x", local.issued, local.random.Uint64()),
	}
}

// Claim takes the key for the operation's request, or tells who has it. A new
// use needs the permission of the request's rule; a repeat does not.
func (local *Local) Claim(now time.Time, key LocalKey, operation Operation, permitted bool) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
	local.forget(now)
	if held, ok := local.used[operation.KeyHash]; ok {
		return held.verdict(operation)
	}
	forgetAt := local.started.Add(key.issued + localLife)
	switch {
	case !permitted || key.issued > now.Sub(local.started) || !now.Before(forgetAt):
		return messenger.ClaimExpired, nil
	case len(local.used) >= maxLocal:
		return messenger.ClaimFull, nil
	}
	local.used[operation.KeyHash] = &localRecord{
		record: record{
			Key: operation.KeyHash, Body: operation.BodyHash, Request: operation.Request,
			VM: operation.Holder.VM, Incarnation: operation.Holder.Incarnation, State: claimed,
		},
		forgetAt: forgetAt,
	}
	local.order = append(local.order, operation.KeyHash)
	return messenger.ClaimGranted, nil
}

// Settle notes how the request that holds a key ended.
func (local *Local) Settle(now time.Time, operation Operation) {
	held, ok := local.used[operation.KeyHash]
	if !ok || !held.heldBy(operation) {
		return
	}
	switch operation.Step {
	case messenger.FinishClaim:
		held.State = finished
		held.Answer = operation.Answer
		local.answerBytes += answerSize(operation.Answer)
	case messenger.AbandonClaim:
		held.State = unknown
	case messenger.FreeClaim:
		delete(local.used, operation.KeyHash)
		local.order = slices.DeleteFunc(local.order, func(key string) bool { return key == operation.KeyHash })
	case messenger.TakeClaim:
	}
	local.forget(now)
}

// forget drops keys that are too old to be used, and the oldest answers while
// all of them together are too large.
func (local *Local) forget(now time.Time) {
	for len(local.order) > 0 {
		held := local.used[local.order[0]]
		if !held.final() || now.Before(held.forgetAt) {
			break
		}
		local.answerBytes -= answerSize(held.Answer)
		delete(local.used, held.Key)
		local.order = local.order[1:]
	}
	for index := 0; local.answerBytes > maxLocalAnswers && index < len(local.order); index++ {
		held := local.used[local.order[index]]
		local.answerBytes -= answerSize(held.Answer)
		held.Answer = nil
	}
}

// verdict tells what a claim of a key comes to that a record has already.
func (record *record) verdict(operation Operation) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
	switch {
	case record.heldBy(operation) && record.State == claimed:
		return messenger.ClaimGranted, nil
	case record.Body != operation.BodyHash:
		return messenger.ClaimMismatch, nil
	case record.State == finished && record.Answer != nil:
		return messenger.ClaimReplay, record.Answer
	case record.State == finished:
		return messenger.ClaimUnkept, nil
	case record.State == unknown:
		return messenger.ClaimUnknown, nil
	default:
		return messenger.ClaimInUse, nil
	}
}
