package claimer

import (
	"time"

	"limpetcleat/messenger"
)

// phase tells which call of a bucket is under way.
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

// bucket is one writer's view of the claims of one bucket. It has at most one
// call under way; steps that come meanwhile wait for the next.
type bucket struct {
	writer *Writer
	index  int
	phase  phase
	// number is the segment of the call under way.
	number int
	// known says that head is what was read or written last.
	known bool
	// fresh says that head was read or written after every waiting step came.
	fresh bool
	// current says that no step came since the call under way was made.
	current bool
	// version is that of head; 0 when there is no such object yet.
	version uint64
	head    head
	// segments holds those that were read; they never change.
	segments map[int]segment
	// sealed is the segment that exists and that the head does not list yet.
	sealed *sealed
	// dropped holds listed segments that have been deleted.
	dropped map[int]bool
	// waiting are the steps to be taken, in the order in which they came.
	waiting []waiting
	// proposed is the head of the write under way, with a verdict for each of
	// the first waiting steps, in their order.
	proposed proposal
	// failures counts calls in a row without success.
	failures int
	// conflicts counts writes in a row that met another version.
	conflicts int
	// pausedUntil is when the next call may go out after a failure.
	pausedUntil time.Time
	// credit is the time up to which writes have been spent.
	credit time.Time
	// wake is when the set timer fires; zero when none is.
	wake time.Time
}

// waiting is a step with the time at which it came.
type waiting struct {
	operation Operation
	since     time.Time
}

// sealed is a segment that has been created, with its version.
type sealed struct {
	number  int
	version uint64
	segment segment
}

// submit takes in a step.
func (bucket *bucket) submit(now time.Time, operation Operation) {
	bucket.giveUp(now)
	switch {
	case bucket.again(operation):
		return
	case len(bucket.waiting) >= maxWaiting:
		bucket.writer.shell.Settle(operation, messenger.ClaimFull, nil)
		return
	case operation.Step == messenger.TakeClaim && bucket.away(now):
		bucket.writer.shell.Settle(operation, messenger.ClaimAway, nil)
		return
	}
	bucket.waiting = append(bucket.waiting, waiting{operation: operation, since: now})
	bucket.fresh = false
	bucket.current = false
	bucket.advance(now)
}

// again tells whether the same step is waiting already.
func (bucket *bucket) again(operation Operation) bool {
	for _, waiting := range bucket.waiting {
		same := waiting.operation
		if same.Request == operation.Request && same.Step == operation.Step && same.Holder == operation.Holder {
			return true
		}
	}
	return false
}

// away tells whether the platform is taken as away just now.
func (bucket *bucket) away(now time.Time) bool {
	return bucket.failures >= failuresTillAway && now.Before(bucket.pausedUntil)
}

// advance makes the next call, if one is due and none is under way.
func (bucket *bucket) advance(now time.Time) {
	if bucket.phase != idle {
		return
	}
	bucket.giveUp(now)
	if len(bucket.waiting) == 0 {
		return
	}
	if due := bucket.due(); now.Before(due) {
		bucket.wakeAt(due)
		return
	}
	if !bucket.known {
		bucket.read(now, readingHead, 0)
		return
	}
	if number, ok := bucket.unread(now); ok {
		bucket.read(now, readingSegment, number)
		return
	}
	if records, size := bucket.head.finals(); size > segmentBytes && bucket.sealed == nil && len(bucket.head.Segments) < maxSegments {
		bucket.seal(now, records)
		return
	}
	if listed, ok := bucket.old(now); ok {
		bucket.call(now, deleting, listed.Number, Call{Verb: Delete, Name: segmentName(bucket.index, listed.Number), Version: listed.Version})
		return
	}
	bucket.propose(now)
}

// due returns when the bucket's next call may go out. A claim goes at once as
// long as the bucket has not spent its writes; other steps wait for company.
func (bucket *bucket) due() time.Time {
	due := bucket.waiting[0].since.Add(lazyWait)
	for _, waiting := range bucket.waiting {
		if waiting.operation.Step == messenger.TakeClaim {
			due = bucket.waiting[0].since
		}
	}
	if bucket.sealed == nil || bucket.conflicts > 0 {
		due = later(due, bucket.credit.Add(-writeBurst*writeGap))
	}
	return later(due, bucket.pausedUntil)
}

// giveUp drops steps that waited too long, but for those of the write under way.
// Nobody acts on a step given up: a claim that was not confirmed is never run,
// and all others are sent again.
func (bucket *bucket) giveUp(now time.Time) {
	written := 0
	if bucket.phase == writing {
		written = len(bucket.proposed.settled)
	}
	var kept []waiting
	for index, waiting := range bucket.waiting {
		if index < written || now.Sub(waiting.since) < stepLife {
			kept = append(kept, waiting)
			continue
		}
		bucket.writer.shell.Settle(waiting.operation, messenger.ClaimAway, nil)
	}
	bucket.waiting = kept
}

func (bucket *bucket) wakeAt(due time.Time) {
	if !bucket.wake.IsZero() && !bucket.wake.After(due) {
		return
	}
	bucket.wake = due
	bucket.writer.shell.WakeAt(bucket.index, due)
}

func (bucket *bucket) read(now time.Time, phase phase, number int) {
	name := headName(bucket.index)
	if phase != readingHead {
		name = segmentName(bucket.index, number)
	}
	bucket.call(now, phase, number, Call{Verb: Read, Name: name})
}

// call makes the bucket's one call.
func (bucket *bucket) call(now time.Time, phase phase, number int, call Call) {
	if call.Verb != Read {
		bucket.credit = later(bucket.credit, now).Add(writeGap)
	}
	bucket.phase = phase
	bucket.number = number
	bucket.current = true
	call.Bucket = bucket.index
	bucket.writer.shell.CallPlatform(call)
}

// unread returns a segment that may hold a live record and was not read yet.
func (bucket *bucket) unread(now time.Time) (int, bool) {
	for _, listed := range bucket.head.Segments {
		if _, ok := bucket.segments[listed.Number]; !ok && !listed.expired(now, bucket.writer.keep) {
			return listed.Number, true
		}
	}
	return 0, false
}

// old returns a segment whose records are all forgotten by now.
func (bucket *bucket) old(now time.Time) (listed, bool) {
	for _, listed := range bucket.head.Segments {
		// The margin lets no writer miss a segment that it still counts on.
		if listed.expired(now, 2*bucket.writer.keep) && !bucket.dropped[listed.Number] {
			return listed, true
		}
	}
	return listed{}, false
}

// seal creates the next segment. Whoever creates it, its content is what every
// writer takes out of the head.
func (bucket *bucket) seal(now time.Time, records []record) {
	data, err := encode(segment{Records: records})
	if err != nil {
		return
	}
	number := bucket.head.Next
	bucket.sealed = &sealed{number: number, segment: segment{Records: records}}
	bucket.call(now, sealing, number, Call{Verb: Create, Name: segmentName(bucket.index, number), Value: data})
}

// write proposes a head by conditional write.
func (bucket *bucket) write(now time.Time, proposed proposal) {
	data, err := encode(proposed.head)
	if err != nil {
		return
	}
	bucket.proposed = proposed
	call := Call{Verb: Update, Name: headName(bucket.index), Version: bucket.version, Value: data}
	if bucket.version == 0 {
		call.Verb = Create
	}
	bucket.call(now, writing, 0, call)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
