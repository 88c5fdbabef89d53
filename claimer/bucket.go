package claimer

import (
	"time"

	"limpetcleat/messenger"
)

// phase is the kind of the outstanding call of a bucket.
type phase int

const (
	idle phase = iota
	readingHead
	readingSegment
	readingSealed
	sealing
	deleting
	writing
)

// bucket is the view that one writer has of the claims of one bucket. It has at most
// one outstanding call; steps that arrive meanwhile wait for the next call.
type bucket struct {
	writer *Writer
	index  int
	phase  phase
	// segmentNumber is the number of the segment that the outstanding call is about.
	segmentNumber int
	// headKnown reports whether head is what was read or written last.
	headKnown bool
	// headFresh reports whether the call that read or wrote head began after the last
	// waiting step arrived.
	headFresh bool
	// current reports whether no step arrived since the last call began.
	current bool
	// headVersion is the version of the stored head, 0 if the object does not exist
	// yet.
	headVersion uint64
	head        head
	// segments holds the segments that were read; segments are immutable.
	segments map[int]segment
	// sealed is the segment that is being created, or exists, but is not listed in
	// the head yet; nil if there is none.
	sealed *sealedSegment
	// deleted holds the segments that were deleted but are still listed in the head.
	deleted map[int]bool
	// waiting holds the steps without a verdict, in the order of their arrival.
	waiting []waitingStep
	// proposed is the head of the outstanding write, with a verdict for each of the
	// first waiting steps, in their order.
	proposed proposal
	// failures is the number of failed calls in a row.
	failures int
	// conflicts is the number of writes in a row that met another version.
	conflicts int
	// pausedUntil is when the next call may be made after a failure or a conflict.
	pausedUntil time.Time
	// writeCredit limits the rate of writes: each write advances it by writeGap, and
	// the next write waits while it is more than writeBurst gaps ahead of the time.
	writeCredit time.Time
	// wakeTime is when the timer fires; zero if none is set.
	wakeTime time.Time
}

// waitingStep is a step with the time of its arrival.
type waitingStep struct {
	operation Operation
	since     time.Time
}

// sealedSegment is a segment that the head does not list yet. Its version is set once
// the segment has been created.
type sealedSegment struct {
	number  int
	version uint64
	segment segment
}

// submit queues a step. It settles the step at once if too many steps wait, or if the
// step is a claim and the platform is unavailable.
func (bucket *bucket) submit(now time.Time, operation Operation) {
	bucket.expireWaiting(now)
	switch {
	case bucket.isWaiting(operation):
		return
	case len(bucket.waiting) >= maxWaiting:
		bucket.writer.shell.Settle(operation, messenger.ClaimFull, nil)
		return
	case operation.Step == messenger.TakeClaim && bucket.platformAway(now):
		bucket.writer.shell.Settle(operation, messenger.ClaimAway, nil)
		return
	}
	bucket.waiting = append(bucket.waiting, waitingStep{operation: operation, since: now})
	bucket.headFresh = false
	bucket.current = false
	bucket.advance(now)
}

// isWaiting reports whether the step is waiting already.
func (bucket *bucket) isWaiting(operation Operation) bool {
	for _, waitingStep := range bucket.waiting {
		same := waitingStep.operation
		if same.Request == operation.Request && same.Step == operation.Step && same.Holder == operation.Holder {
			return true
		}
	}
	return false
}

// platformAway reports whether the platform is taken to be unavailable.
func (bucket *bucket) platformAway(now time.Time) bool {
	return bucket.failures >= failuresUntilAway && now.Before(bucket.pausedUntil)
}

// advance makes the next call if one is due and none is outstanding.
func (bucket *bucket) advance(now time.Time) {
	if bucket.phase != idle {
		return
	}
	bucket.expireWaiting(now)
	if len(bucket.waiting) == 0 {
		return
	}
	if due := bucket.nextCallTime(); now.Before(due) {
		bucket.wakeAt(due)
		return
	}
	if !bucket.headKnown {
		bucket.read(now, readingHead, 0)
		return
	}
	if number, ok := bucket.unreadSegment(now); ok {
		bucket.read(now, readingSegment, number)
		return
	}
	if records, size := bucket.head.finals(); size > segmentBytes && bucket.sealed == nil && len(bucket.head.Segments) < maxSegments {
		bucket.seal(now, records)
		return
	}
	if listedSegment, ok := bucket.expiredSegment(now); ok {
		bucket.call(now, deleting, listedSegment.Number, Call{Verb: Delete, Name: segmentName(bucket.index, listedSegment.Number), Version: listedSegment.Version})
		return
	}
	bucket.propose(now)
}

// nextCallTime returns when the next call of the bucket may be made. Claims are written
// at once while the rate of writes allows it; other steps wait up to batchDelay, so
// that one write carries more of them.
func (bucket *bucket) nextCallTime() time.Time {
	due := bucket.waiting[0].since.Add(batchDelay)
	for _, waitingStep := range bucket.waiting {
		if waitingStep.operation.Step == messenger.TakeClaim {
			due = bucket.waiting[0].since
		}
	}
	if bucket.sealed == nil || bucket.conflicts > 0 {
		due = later(due, bucket.writeCredit.Add(-writeBurst*writeGap))
	}
	return later(due, bucket.pausedUntil)
}

// expireWaiting drops steps that waited for stepTimeout, except those of the
// outstanding write. This is safe: a request whose claim was not confirmed never runs,
// and all other steps are sent again.
func (bucket *bucket) expireWaiting(now time.Time) {
	written := 0
	if bucket.phase == writing {
		written = len(bucket.proposed.settled)
	}
	var kept []waitingStep
	for index, waitingStep := range bucket.waiting {
		if index < written || now.Sub(waitingStep.since) < stepTimeout {
			kept = append(kept, waitingStep)
			continue
		}
		bucket.writer.shell.Settle(waitingStep.operation, messenger.ClaimAway, nil)
	}
	bucket.waiting = kept
}

// wakeAt sets the timer of the bucket unless it fires earlier already.
func (bucket *bucket) wakeAt(due time.Time) {
	if !bucket.wakeTime.IsZero() && !bucket.wakeTime.After(due) {
		return
	}
	bucket.wakeTime = due
	bucket.writer.shell.WakeAt(bucket.index, due)
}

// read reads the head in the phase readingHead, and otherwise the numbered segment.
func (bucket *bucket) read(now time.Time, phase phase, number int) {
	name := headName(bucket.index)
	if phase != readingHead {
		name = segmentName(bucket.index, number)
	}
	bucket.call(now, phase, number, Call{Verb: Read, Name: name})
}

// call makes the call of the bucket and counts it against the rate of writes.
func (bucket *bucket) call(now time.Time, phase phase, number int, call Call) {
	if call.Verb != Read {
		bucket.writeCredit = later(bucket.writeCredit, now).Add(writeGap)
	}
	bucket.phase = phase
	bucket.segmentNumber = number
	bucket.current = true
	call.Bucket = bucket.index
	bucket.writer.shell.CallPlatform(call)
}

// unreadSegment returns the number of a segment that was not read yet and may hold a
// record that has not expired, and whether there is one.
func (bucket *bucket) unreadSegment(now time.Time) (int, bool) {
	for _, listedSegment := range bucket.head.Segments {
		if _, ok := bucket.segments[listedSegment.Number]; !ok && !listedSegment.expired(now, bucket.writer.retention) {
			return listedSegment.Number, true
		}
	}
	return 0, false
}

// expiredSegment returns a listed segment that can be deleted, and whether there is
// one.
func (bucket *bucket) expiredSegment(now time.Time) (listedSegment, bool) {
	for _, listedSegment := range bucket.head.Segments {
		// With twice the retention as a margin, no writer still needs a segment
		// that is deleted.
		if listedSegment.expired(now, 2*bucket.writer.retention) && !bucket.deleted[listedSegment.Number] {
			return listedSegment, true
		}
	}
	return listedSegment{}, false
}

// seal creates the next segment with the records. If several writers try, the segment
// that was created first holds: every writer removes the records of that segment from
// the head.
func (bucket *bucket) seal(now time.Time, records []record) {
	data, err := encode(segment{Records: records})
	if err != nil {
		return
	}
	number := bucket.head.Next
	bucket.sealed = &sealedSegment{number: number, segment: segment{Records: records}}
	bucket.call(now, sealing, number, Call{Verb: Create, Name: segmentName(bucket.index, number), Value: data})
}

// write stores the proposed head by a conditional write.
func (bucket *bucket) write(now time.Time, proposed proposal) {
	data, err := encode(proposed.head)
	if err != nil {
		return
	}
	bucket.proposed = proposed
	call := Call{Verb: Update, Name: headName(bucket.index), Version: bucket.headVersion, Value: data}
	if bucket.headVersion == 0 {
		call.Verb = Create
	}
	bucket.call(now, writing, 0, call)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
