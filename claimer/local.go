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
	// localKeyLifetime is the time after its issue in which a local key may be used.
	localKeyLifetime = time.Hour
	// maxLocalKeys bounds the number of keys in the table.
	maxLocalKeys = 16384
	// maxLocalAnswerBytes bounds the size of all answers in the table.
	maxLocalAnswerBytes = 16 << 20
)

// Local is the table of the used keys that one process issued. It is kept in memory
// only: no other process runs a request with one of these keys, so that the claims
// need not outlive the process. A Local is not safe for concurrent use.
type Local struct {
	self    definer.Member
	started time.Time
	random  *rand.Rand
	issued  uint64
	// used holds, by hash, each key that was used, until the key has expired and its
	// request has ended.
	used map[string]*localRecord
	// order holds the hashes in used in the order of their first use.
	order []string
	// answerBytes is the size of all answers in used, in bytes.
	answerBytes int
}

// localRecord is the record of a used local key.
type localRecord struct {
	record
	// expiresAt is when the key expires.
	expiresAt time.Time
}

// NewLocal returns an empty table for the process self, which started at the given
// time. The seed determines the random part of its keys.
func NewLocal(self definer.Member, started time.Time, seed uint64) *Local {
	return &Local{
		self:    self,
		started: started,
		random:  rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		used:    make(map[string]*localRecord),
	}
}

// Issue returns a new key. The key takes no space in the table until it is used.
func (local *Local) Issue(now time.Time) LocalKey {
	local.issued++
	return LocalKey{
		holder: local.self,
		issued: now.Sub(local.started),
		number: fmt.Sprintf("%d-%016x", local.issued, local.random.Uint64()),
	}
}

// Claim claims the key for the request of the operation and returns the verdict, with
// the stored answer if the request ran already. The first use of a key is granted only
// if permitted by the rule of the request; repeats need no permission.
func (local *Local) Claim(now time.Time, key LocalKey, operation Operation, permitted bool) (messenger.ClaimVerdict, *messenger.KeptAnswer) {
	local.evict(now)
	if held, ok := local.used[operation.KeyHash]; ok {
		return held.verdict(operation)
	}
	expiresAt := local.started.Add(key.issued + localKeyLifetime)
	switch {
	case !permitted || key.issued > now.Sub(local.started) || !now.Before(expiresAt):
		return messenger.ClaimExpired, nil
	case len(local.used) >= maxLocalKeys:
		return messenger.ClaimFull, nil
	}
	local.used[operation.KeyHash] = &localRecord{
		record: record{
			Key: operation.KeyHash, Body: operation.BodyHash, Request: operation.Request,
			VM: operation.Holder.VM, Incarnation: operation.Holder.Incarnation, State: claimed,
		},
		expiresAt: expiresAt,
	}
	local.order = append(local.order, operation.KeyHash)
	return messenger.ClaimGranted, nil
}

// Settle records how the request that holds a key ended. Operations of requests that
// do not hold the key have no effect.
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
	local.evict(now)
}

// evict drops expired keys whose requests have ended, and the oldest answers while
// the size of all answers exceeds maxLocalAnswerBytes.
func (local *Local) evict(now time.Time) {
	for len(local.order) > 0 {
		held := local.used[local.order[0]]
		if !held.final() || now.Before(held.expiresAt) {
			break
		}
		local.answerBytes -= answerSize(held.Answer)
		delete(local.used, held.Key)
		local.order = local.order[1:]
	}
	for index := 0; local.answerBytes > maxLocalAnswerBytes && index < len(local.order); index++ {
		held := local.used[local.order[index]]
		local.answerBytes -= answerSize(held.Answer)
		held.Answer = nil
	}
}

// verdict returns the verdict on a claim of the key of this record, with the stored
// answer if it is replayed.
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
