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
		bucket.sealedWritten(now, answer)
	case deleting:
		bucket.dropped[bucket.number] = true
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
	bucket.pause(now, bucket.failures, firstPause, longestPause)
	switch {
	case phase == sealing && answer.Result == Lost:
		bucket.read(now, readingSealed, bucket.number)
	case phase == sealing || phase == readingSealed:
		bucket.sealed = nil
	case phase == writing && answer.Result == Lost:
		bucket.known = false
	}
}

// pause holds the bucket's next call back, longer with each failure and by a
// share drawn from the seed.
func (bucket *bucket) pause(now time.Time, failures int, first, longest time.Duration) {
	wait := min(first<<min(failures, maxDoublings), longest)
	bucket.pausedUntil = now.Add(wait/2 + time.Duration(bucket.writer.random.Int64N(int64(wait))))
}

// headRead takes in the head as it stands, or that there is none.
func (bucket *bucket) headRead(now time.Time, answer Answer) {
	bucket.head = head{}
	bucket.version = 0
	if answer.Result != Missing {
		decoded, err := decode[head](answer.Value)
		if err != nil {
			bucket.spoilt(now)
			return
		}
		bucket.head = decoded
		bucket.version = answer.Version
	}
	bucket.known = true
	bucket.fresh = bucket.current
	bucket.forgetSegments()
}

// spoilt deals with an object that cannot be read: nothing is claimed on it.
func (bucket *bucket) spoilt(now time.Time) {
	bucket.known = false
	bucket.failures++
	bucket.pause(now, bucket.failures, firstPause, longestPause)
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
	for number := range bucket.dropped {
		if !listed[number] {
			delete(bucket.dropped, number)
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
		bucket.pause(now, 0, conflictPause, longestConflictPause)
		return
	}
	decoded, err := decode[segment](answer.Value)
	if err != nil {
		bucket.spoilt(now)
		return
	}
	bucket.segments[bucket.number] = decoded
}

func (bucket *bucket) sealedWritten(now time.Time, answer Answer) {
	if answer.Result != Done {
		bucket.read(now, readingSealed, bucket.number)
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

// written deals with the answer to a conditional write.
func (bucket *bucket) written(now time.Time, answer Answer) {
	if answer.Result != Done {
		bucket.conflicts++
		bucket.pause(now, bucket.conflicts, conflictPause, longestConflictPause)
		bucket.headRead(now, answer)
		return
	}
	bucket.conflicts = 0
	bucket.head = bucket.proposed.head
	bucket.version = answer.Version
	bucket.known = true
	bucket.fresh = bucket.current
	if bucket.proposed.listsSealed {
		bucket.segments[bucket.sealed.number] = bucket.sealed.segment
		bucket.sealed = nil
	}
	bucket.forgetSegments()
	bucket.settle()
}
