package claimer

import "time"

// answered takes in the platform's answer to the call under way.
func (bucket *bucket) answered(now time.Time, answer Answer) {
	phase := bucket.phase
	bucket.phase = idle
	if answer.Result == Lost || answer.Result == Rejected {
		bucket.failed(now, phase, answer)
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
		bucket.sealedRead(now, answer)
	case sealing:
		bucket.sealedWritten(answer)
	case deleting:
		bucket.dropListed(bucket.number)
	case writing:
		bucket.written(now, answer)
	}
	bucket.advance(now)
}

// failed deals with a call that got no answer or was turned away. What a lost
// write did is found out by reading back: the same steps are taken again on
// what then stands, and a claim that stands is found by its request.
func (bucket *bucket) failed(now time.Time, phase phase, answer Answer) {
	bucket.failures++
	bucket.pause(now, firstPause, longestPause)
	switch {
	case phase == sealing && answer.Result == Lost:
		bucket.read(readingSealed, bucket.number)
	case phase == sealing || phase == readingSealed:
		bucket.sealed = nil
	case phase == writing && answer.Result == Lost:
		bucket.known = false
	}
}

// pause holds the bucket's next call back, longer with each failure and by a
// share drawn from the seed.
func (bucket *bucket) pause(now time.Time, first, longest time.Duration) {
	wait := first << min(bucket.failures, maxDoublings)
	wait = min(wait, longest)
	bucket.pausedUntil = now.Add(wait/2 + time.Duration(bucket.writer.random.Int64N(int64(wait))))
}

func (bucket *bucket) headRead(now time.Time, answer Answer) {
	bucket.head = head{}
	bucket.version = 0
	if answer.Result == Done {
		decoded, err := decode[head](answer.Value)
		if err != nil {
			bucket.spoilt(now)
			return
		}
		bucket.head = decoded
		bucket.version = answer.Version
	}
	bucket.known = true
	bucket.fresh = true
	bucket.forgetSegments()
}

// spoilt deals with an object that cannot be read: nothing is claimed on it.
func (bucket *bucket) spoilt(now time.Time) {
	bucket.known = false
	bucket.failures++
	bucket.pause(now, firstPause, longestPause)
}

// forgetSegments drops what the head no longer counts on.
func (bucket *bucket) forgetSegments() {
	listed := make(map[int]bool, len(bucket.head.Segments))
	for _, segment := range bucket.head.Segments {
		listed[segment.Number] = true
	}
	for number := range bucket.segments {
		if !listed[number] {
			delete(bucket.segments, number)
		}
	}
	if bucket.sealed != nil && bucket.sealed.number != bucket.head.Next {
		bucket.sealed = nil
	}
}

func (bucket *bucket) segmentRead(now time.Time, answer Answer) {
	if answer.Result != Done {
		// Somebody deleted it; the head that is read next no longer lists it.
		bucket.known = false
		bucket.pause(now, conflictPause, longestConflictPause)
		return
	}
	decoded, err := decode[segment](answer.Value)
	if err != nil {
		bucket.spoilt(now)
		return
	}
	bucket.segments[bucket.number] = decoded
}

func (bucket *bucket) sealedWritten(answer Answer) {
	if answer.Result != Done {
		bucket.read(readingSealed, bucket.number)
		return
	}
	bucket.sealed.version = answer.Version
}

// sealedRead adopts a segment that stands already, whoever created it.
func (bucket *bucket) sealedRead(now time.Time, answer Answer) {
	bucket.sealed = nil
	if answer.Result != Done {
		bucket.known = false
		return
	}
	decoded, err := decode[segment](answer.Value)
	if err != nil {
		bucket.spoilt(now)
		return
	}
	bucket.sealed = &sealed{number: bucket.number, version: answer.Version, segment: decoded}
}

// dropListed takes a deleted segment out of the head that is written next.
func (bucket *bucket) dropListed(number int) {
	if bucket.dropped == nil {
		bucket.dropped = make(map[int]bool)
	}
	bucket.dropped[number] = true
}

// written deals with the answer to a conditional write.
func (bucket *bucket) written(now time.Time, answer Answer) {
	if answer.Result != Done {
		bucket.known = false
		bucket.conflicts++
		wait := min(conflictPause<<min(bucket.conflicts, maxDoublings), longestConflictPause)
		bucket.pausedUntil = now.Add(time.Duration(bucket.writer.random.Int64N(int64(wait))))
		return
	}
	bucket.conflicts = 0
	bucket.head = bucket.proposed.head
	bucket.version = answer.Version
	if bucket.proposed.listsSealed {
		bucket.segments[bucket.sealed.number] = bucket.sealed.segment
		bucket.sealed = nil
	}
	bucket.forgetSegments()
	bucket.settle()
}
