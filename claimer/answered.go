package claimer

import "time"

// answered handles the platform's answer to the outstanding call.
func (bucket *bucket) answered(now time.Time, answer Answer) {
	phase := bucket.phase
	bucket.phase = idle
	if answer.Result == Lost || answer.Result == Rejected {
		bucket.callFailed(now, phase, answer)
		bucket.advance(now)
		return
	}
	bucket.failures = 0
	switch phase {
	case idle:
		return
	case readingHead:
		bucket.headRead(now, answer)
	case readingSegment:
		bucket.segmentRead(now, answer)
	case readingSealed:
		bucket.sealedSegmentRead(now, answer)
	case sealing:
		bucket.sealedSegmentWritten(now, answer)
	case deleting:
		bucket.deleted[bucket.segmentNumber] = true
	case writing:
		bucket.headWritten(now, answer)
	}
	bucket.advance(now)
}

// callFailed handles a call that got no answer or was rejected. Whether a lost write
// took effect is found by reading the object again: the steps are then applied to the
// object as stored, and a claim that was stored is recognised by its request.
func (bucket *bucket) callFailed(now time.Time, phase phase, answer Answer) {
	bucket.failures++
	bucket.pause(now, bucket.failures, firstPause, longestPause)
	switch {
	case phase == sealing && answer.Result == Lost:
		bucket.read(now, readingSealed, bucket.segmentNumber)
	case phase == sealing || phase == readingSealed:
		bucket.sealed = nil
	case phase == writing && answer.Result == Lost:
		bucket.headKnown = false
	}
}

// pause delays the next call of the bucket: exponential backoff, from first up to
// longest, with jitter of half to one and a half times the delay.
func (bucket *bucket) pause(now time.Time, failures int, first, longest time.Duration) {
	wait := min(first<<min(failures, maxDoublings), longest)
	bucket.pausedUntil = now.Add(wait/2 + time.Duration(bucket.writer.random.Int64N(int64(wait))))
}

// headRead handles the head as stored, or its absence.
func (bucket *bucket) headRead(now time.Time, answer Answer) {
	bucket.head = head{}
	bucket.headVersion = 0
	if answer.Result != Missing {
		decoded, err := decode[head](answer.Value)
		if err != nil {
			bucket.objectMalformed(now)
			return
		}
		bucket.head = decoded
		bucket.headVersion = answer.Version
	}
	bucket.headKnown = true
	bucket.headFresh = bucket.current
	bucket.dropUnlistedSegments()
}

// objectMalformed handles an object that cannot be decoded: the head is read again
// after a pause, and nothing is written until the bucket can be decoded.
func (bucket *bucket) objectMalformed(now time.Time) {
	bucket.headKnown = false
	bucket.failures++
	bucket.pause(now, bucket.failures, firstPause, longestPause)
}

// dropUnlistedSegments drops the state of segments that the head does not list, and the
// sealed segment unless it is the next one to be listed.
func (bucket *bucket) dropUnlistedSegments() {
	listed := make(map[int]bool, len(bucket.head.Segments))
	for _, segment := range bucket.head.Segments {
		listed[segment.Number] = true
	}
	for number := range bucket.segments {
		if !listed[number] {
			delete(bucket.segments, number)
		}
	}
	for number := range bucket.deleted {
		if !listed[number] {
			delete(bucket.deleted, number)
		}
	}
	if bucket.sealed != nil && bucket.sealed.number != bucket.head.Next {
		bucket.sealed = nil
	}
}

// segmentRead handles the answer to the read of a listed segment.
func (bucket *bucket) segmentRead(now time.Time, answer Answer) {
	if answer.Result != Done {
		// Another writer deleted the segment; the next head read does not list it.
		bucket.headKnown = false
		bucket.pause(now, 0, conflictPause, longestConflictPause)
		return
	}
	decoded, err := decode[segment](answer.Value)
	if err != nil {
		bucket.objectMalformed(now)
		return
	}
	bucket.segments[bucket.segmentNumber] = decoded
}

// sealedSegmentWritten handles the answer to the creation of a segment. If the segment
// exists already, it is read and adopted.
func (bucket *bucket) sealedSegmentWritten(now time.Time, answer Answer) {
	if answer.Result != Done {
		bucket.read(now, readingSealed, bucket.segmentNumber)
		return
	}
	bucket.sealed.version = answer.Version
}

// sealedSegmentRead adopts the stored segment, which this or another writer may have
// created.
func (bucket *bucket) sealedSegmentRead(now time.Time, answer Answer) {
	bucket.sealed = nil
	if answer.Result != Done {
		bucket.headKnown = false
		return
	}
	decoded, err := decode[segment](answer.Value)
	if err != nil {
		bucket.objectMalformed(now)
		return
	}
	bucket.sealed = &sealedSegment{number: bucket.segmentNumber, version: answer.Version, segment: decoded}
}

// headWritten handles the answer to a conditional write of the head. After a conflict
// the answer holds the head as stored.
func (bucket *bucket) headWritten(now time.Time, answer Answer) {
	if answer.Result != Done {
		bucket.conflicts++
		bucket.pause(now, bucket.conflicts, conflictPause, longestConflictPause)
		bucket.headRead(now, answer)
		return
	}
	bucket.conflicts = 0
	bucket.head = bucket.proposed.head
	bucket.headVersion = answer.Version
	bucket.headKnown = true
	bucket.headFresh = bucket.current
	if bucket.proposed.listsSealed {
		bucket.segments[bucket.sealed.number] = bucket.sealed.segment
		bucket.sealed = nil
	}
	bucket.dropUnlistedSegments()
	bucket.settle()
}
