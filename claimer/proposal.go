package claimer

import (
	"slices"
	"time"

	"limpetcleat/messenger"
)

// proposal is a head to be written and what its steps come to once it stands.
type proposal struct {
	head    head
	changed bool
	// listsSealed says that the head lists the bucket's sealed segment.
	listsSealed bool
	settled     []settled
}

// settled is a step with its verdict.
type settled struct {
	operation Operation
	verdict   messenger.ClaimVerdict
	answer    *messenger.KeptAnswer
	// certain verdicts hold whatever has been written since.
	certain bool
}

// propose takes all waiting steps on a copy of the head and writes it. Steps
// that change nothing are settled at once if what they rest on was read after
// they came.
func (bucket *bucket) propose(now time.Time) {
	proposed := proposal{head: bucket.head.clone()}
	bucket.tidy(now, &proposed)
	for _, waiting := range bucket.waiting {
		proposed.settled = append(proposed.settled, bucket.take(now, &proposed, waiting.operation))
	}
	certain := !slices.ContainsFunc(proposed.settled, func(settled settled) bool { return !settled.certain })
	switch {
	case proposed.changed:
		bucket.write(now, proposed)
	case bucket.fresh || certain:
		bucket.proposed = proposed
		bucket.settle()
	default:
		bucket.read(now, readingHead, 0)
	}
}

// settle tells the verdicts of the proposal, which now stands.
func (bucket *bucket) settle() {
	settled := bucket.proposed.settled
	bucket.proposed = proposal{}
	bucket.waiting = slices.Clone(bucket.waiting[len(settled):])
	for _, settled := range settled {
		bucket.writer.shell.Settle(settled.operation, settled.verdict, settled.answer)
	}
}

// tidy lists the sealed segment, drops what is forgotten and gives up claims
// whose holder is gone or long silent. Nobody ever runs those again.
func (bucket *bucket) tidy(now time.Time, proposed *proposal) {
	keep := bucket.writer.keep
	head := &proposed.head
	head.Records = slices.DeleteFunc(head.Records, func(record record) bool { return record.expired(now, keep) })
	head.Segments = slices.DeleteFunc(head.Segments, func(listed listed) bool { return bucket.dropped[listed.Number] })
	for index := range head.Records {
		if held := &head.Records[index]; !held.final() && bucket.abandoned(now, held) {
			held.State = unknown
			held.At = now.UnixMilli()
			proposed.changed = true
		}
	}
	if bucket.sealed == nil || bucket.sealed.number != head.Next {
		return
	}
	proposed.changed = true
	proposed.listsSealed = true
	listed := listed{Number: bucket.sealed.number, Version: bucket.sealed.version}
	for _, sealed := range bucket.sealed.segment.Records {
		listed.Newest = max(listed.Newest, sealed.At)
		if held := head.find(sealed.Key); held != nil && held.Request == sealed.Request && held.State == sealed.State {
			head.remove(sealed.Key)
		}
	}
	head.Segments = append(head.Segments, listed)
	head.Next++
}

// lookup returns the newest record of a key that is not forgotten, and whether
// it stands in the head, where it can be changed.
func (bucket *bucket) lookup(now time.Time, proposed *proposal, key string) (*record, bool) {
	keep := bucket.writer.keep
	if held := proposed.head.find(key); held != nil && !held.expired(now, keep) {
		return held, true
	}
	for _, listed := range slices.Backward(proposed.head.Segments) {
		segment := bucket.segments[listed.Number]
		if bucket.sealed != nil && listed.Number == bucket.sealed.number {
			segment = bucket.sealed.segment
		}
		for index := range segment.Records {
			if found := &segment.Records[index]; found.Key == key && !found.expired(now, keep) {
				return found, false
			}
		}
	}
	return nil, false
}

// take takes one step on the proposed head.
func (bucket *bucket) take(now time.Time, proposed *proposal, operation Operation) settled {
	held, changeable := bucket.lookup(now, proposed, operation.KeyHash)
	if operation.Step == messenger.TakeClaim {
		return bucket.claim(now, proposed, operation, held)
	}
	stored := settled{operation: operation, verdict: messenger.ClaimStored}
	if held == nil || !changeable || !held.heldBy(operation) || held.State == finished {
		return stored
	}
	switch operation.Step {
	case messenger.FinishClaim:
		held.State = finished
		held.Answer = operation.Answer
		held.At = now.UnixMilli()
	case messenger.AbandonClaim:
		if held.State == unknown {
			return stored
		}
		held.State = unknown
		held.At = now.UnixMilli()
	case messenger.FreeClaim:
		proposed.head.remove(held.Key)
	case messenger.TakeClaim:
	}
	proposed.changed = true
	return stored
}

// claim takes the key for the step's request, or tells who has it.
func (bucket *bucket) claim(now time.Time, proposed *proposal, operation Operation, held *record) settled {
	settled := settled{operation: operation}
	switch {
	case held == nil && bucket.full(proposed):
		settled.verdict = messenger.ClaimFull
	case held == nil:
		proposed.head.Records = append(proposed.head.Records, record{
			Key: operation.KeyHash, Body: operation.BodyHash, Request: operation.Request,
			VM: operation.Holder.VM, Incarnation: operation.Holder.Incarnation,
			State: claimed, At: now.UnixMilli(),
		})
		proposed.changed = true
		settled.verdict = messenger.ClaimGranted
	default:
		settled.verdict, settled.answer = held.verdict(operation)
		settled.certain = settled.verdict == messenger.ClaimReplay || settled.verdict == messenger.ClaimUnkept
	}
	return settled
}

// abandoned tells whether a claim's holder is gone or long silent.
func (bucket *bucket) abandoned(now time.Time, held *record) bool {
	return bucket.writer.shell.Gone(held.holder()) || held.age(now) > bucket.writer.keep
}

// full tells whether there is no room for another claim. The answers that are
// kept make room first, oldest first: the outcome matters more.
func (bucket *bucket) full(proposed *proposal) bool {
	head := &proposed.head
	for index := 0; head.size() > maxHeadBytes && index < len(head.Records); index++ {
		if head.Records[index].Answer != nil {
			head.Records[index].Answer = nil
			proposed.changed = true
		}
	}
	return head.size() > maxHeadBytes
}
