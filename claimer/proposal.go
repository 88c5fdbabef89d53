package claimer

import (
	"slices"
	"time"

	"limpetcleat/messenger"
)

// proposal is a head to be written, with the verdicts on its steps that hold once the
// write took effect.
type proposal struct {
	head    head
	changed bool
	// listsSealed reports whether the head lists the sealed segment of the bucket.
	listsSealed bool
	settled     []settledStep
}

// settledStep is a step with its verdict.
type settledStep struct {
	operation Operation
	verdict   messenger.ClaimVerdict
	answer    *messenger.KeptAnswer
	// certain reports whether the verdict holds even if the bucket was written to
	// since its head was read.
	certain bool
}

// propose applies all waiting steps to a copy of the head and writes it. If nothing
// changed, the steps are settled at once, provided that the head was read after they
// arrived or that their verdicts are certain; otherwise the head is read again.
func (bucket *bucket) propose(now time.Time) {
	proposed := proposal{head: bucket.head.clone()}
	bucket.prune(now, &proposed)
	for _, waitingStep := range bucket.waiting {
		proposed.settled = append(proposed.settled, bucket.apply(now, &proposed, waitingStep.operation))
	}
	certain := !slices.ContainsFunc(proposed.settled, func(settled settledStep) bool { return !settled.certain })
	switch {
	case proposed.changed:
		bucket.write(now, proposed)
	case bucket.headFresh || certain:
		bucket.proposed = proposed
		bucket.settle()
	default:
		bucket.read(now, readingHead, 0)
	}
}

// settle passes on the verdicts of the proposal, which is stored now.
func (bucket *bucket) settle() {
	settled := bucket.proposed.settled
	bucket.proposed = proposal{}
	bucket.waiting = slices.Clone(bucket.waiting[len(settled):])
	for _, settled := range settled {
		bucket.writer.shell.Settle(settled.operation, settled.verdict, settled.answer)
	}
}

// prune lists the sealed segment in the proposed head, drops expired records and
// deleted segments, and sets claims to unknown whose holder has ended or was silent for
// long. The requests of those claims are never run again.
func (bucket *bucket) prune(now time.Time, proposed *proposal) {
	retention := bucket.writer.retention
	head := &proposed.head
	head.Records = slices.DeleteFunc(head.Records, func(record record) bool { return record.expired(now, retention) })
	head.Segments = slices.DeleteFunc(head.Segments, func(listedSegment listedSegment) bool { return bucket.deleted[listedSegment.Number] })
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
	listedSegment := listedSegment{Number: bucket.sealed.number, Version: bucket.sealed.version}
	for _, record := range bucket.sealed.segment.Records {
		listedSegment.Newest = max(listedSegment.Newest, record.At)
		if held := head.find(record.Key); held != nil && held.Request == record.Request && held.State == record.State {
			head.remove(record.Key)
		}
	}
	head.Segments = append(head.Segments, listedSegment)
	head.Next++
}

// lookup returns the newest record of a key that has not expired, or nil, and whether
// the record is in the head, where it can be changed.
func (bucket *bucket) lookup(now time.Time, proposed *proposal, key string) (*record, bool) {
	retention := bucket.writer.retention
	if held := proposed.head.find(key); held != nil && !held.expired(now, retention) {
		return held, true
	}
	for _, listedSegment := range slices.Backward(proposed.head.Segments) {
		segment := bucket.segments[listedSegment.Number]
		if bucket.sealed != nil && listedSegment.Number == bucket.sealed.number {
			segment = bucket.sealed.segment
		}
		for index := range segment.Records {
			if found := &segment.Records[index]; found.Key == key && !found.expired(now, retention) {
				return found, false
			}
		}
	}
	return nil, false
}

// apply applies one step to the proposed head.
func (bucket *bucket) apply(now time.Time, proposed *proposal, operation Operation) settledStep {
	held, changeable := bucket.lookup(now, proposed, operation.KeyHash)
	if operation.Step == messenger.TakeClaim {
		return bucket.claim(now, proposed, operation, held)
	}
	stored := settledStep{operation: operation, verdict: messenger.ClaimStored}
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

// claim adds a claim on the key for the request of the operation. If the key has the
// record held already, the verdict is that of the record.
func (bucket *bucket) claim(now time.Time, proposed *proposal, operation Operation, held *record) settledStep {
	settled := settledStep{operation: operation}
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

// abandoned reports whether the holder of a claim has ended or the claim was not
// changed for longer than the retention.
func (bucket *bucket) abandoned(now time.Time, held *record) bool {
	return bucket.writer.shell.Gone(held.holder()) || held.age(now) > bucket.writer.retention
}

// full reports whether the head has no space for another claim. It drops stored
// answers from the head first, the oldest first: the outcome of a request matters more
// than its answer.
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
