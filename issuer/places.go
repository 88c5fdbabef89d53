package issuer

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// minLease and maxLease bound how long the permit of a request occupies a place unless its node reports
	// it again, which is leaseFactor times the mean time that a permit is held, or maxLease while that is
	// unknown. A node that has ended reports nothing, and most requests end before theirs needs to be
	// reported.
	minLease    = time.Second
	maxLease    = 4 * time.Second
	leaseFactor = 4
	// RenewShare is the part of a lease after which a node reports the permits that it still holds.
	RenewShare = 0.5
	// MaxRenewal is the longest time after which it does.
	MaxRenewal = maxLease / 2
	// FirstRenewal is the time after which a node reports requests that have no lease yet.
	FirstRenewal = maxLease / 2
	// firstHoldTime is taken for the mean time that a permit is held while that is unknown, and
	// holdWeight is the weight of one permit in the moving average.
	firstHoldTime = 100 * time.Millisecond
	holdWeight    = 0.1
	// pace is how much faster than in the mean permits may follow each other once half of the places
	// are in use, if the capacity is paced.
	pace = 2
)

// Outcome is how the request of a returned permit ended.
type Outcome int

const (
	// Unused means that the upstream did not answer the request, or that it was not sent.
	Unused Outcome = iota
	// Served means that the upstream accepted the request.
	Served
	// Rejected means that the upstream rejected the request for want of capacity.
	Rejected
)

// Capacity is how many permits may be in use at a time. It learns from the outcomes of the permits.
type Capacity interface {
	// Size returns how many permits may be in use.
	Size(now time.Time) int
	// ThawsAt returns when Size grows although no permit is returned; the zero time if that is not known.
	ThawsAt(now time.Time) time.Time
	// Paced reports whether permits are spread over time once half of them are in use.
	Paced() bool
	// MinLease returns the shortest lease of a permit.
	MinLease() time.Duration
	// RecordAccepted records that the upstream accepted what a permit was for, and RecordRejected that it
	// rejected that, with the given number of other permits in use.
	RecordAccepted()
	RecordRejected(now time.Time, others int)
	// RecordFound records that the given number of permits is in use, some of them of another issuer.
	RecordFound(inUse int)
}

// places are the permits in use of an upstream that accepts a limited number of requests or connections
// at a time.
type places struct {
	room Capacity
	// share is the part of the room that this issuer may use, 0 to 1.
	share float64
	// holders are the permits in use.
	holders map[AskID]place
	// holdTime is the mean time that a permit is held, 0 while unknown, and takenAt when a place was
	// last taken.
	holdTime time.Duration
	takenAt  time.Time
}

// place is one permit in use.
type place struct {
	grantedAt time.Time
	expiresAt time.Time
}

// LimitPlaces limits the permits in use at a time to the share of the room; nil ends the limit.
func (issuer *Issuer) LimitPlaces(room Capacity, share float64) {
	switch {
	case room == nil:
		issuer.places = nil
	case issuer.places == nil:
		issuer.places = &places{room: room, share: share, holders: make(map[AskID]place)}
	default:
		issuer.places.room, issuer.places.share = room, share
	}
}

// InUse returns the number of permits in use, 0 unless places are limited.
func (issuer *Issuer) InUse() int {
	if issuer.places == nil {
		return 0
	}
	return len(issuer.places.holders)
}

// Return ends the use of a permit. Without limited places it has no effect.
func (issuer *Issuer) Return(now time.Time, id AskID, outcome Outcome) {
	places := issuer.places
	if places == nil {
		return
	}
	returned, held := places.holders[id]
	delete(places.holders, id)
	switch outcome {
	case Served:
		places.room.RecordAccepted()
		if held {
			places.recordHold(now.Sub(returned.grantedAt))
		}
	case Rejected:
		places.room.RecordRejected(now, len(places.holders))
	case Unused:
	}
}

// Reconcile replaces what is known of a node's permits: those in use are the held ones, and others
// only from the number settled on. Thereby lost returns are made up for, and a new issuer learns of
// the permits of the previous one.
func (issuer *Issuer) Reconcile(now time.Time, from definer.VM, held []uint64, settled uint64) {
	places := issuer.places
	if places == nil {
		return
	}
	for id := range places.holders {
		if id.From == from && id.Number < settled && !slices.Contains(held, id.Number) {
			delete(places.holders, id)
		}
	}
	found := false
	for _, number := range held[:min(len(held), maxRoom)] {
		id := AskID{From: from, Number: number}
		known, ok := places.holders[id]
		if !ok {
			known.grantedAt = now
			found = true
		}
		known.expiresAt = now.Add(places.lease())
		places.holders[id] = known
	}
	if found {
		places.room.RecordFound(len(places.holders))
	}
}

// free returns the number of unused places, below 0 if more are in use than there is room.
func (places *places) free(now time.Time) int { return places.size(now) - len(places.holders) }

// size returns the number of places of this issuer, at least one unless there is no room.
func (places *places) size(now time.Time) int {
	size := places.room.Size(now)
	return min(max(int(places.share*float64(size)), 1), size)
}

// recordHold updates the mean time that a permit is held.
func (places *places) recordHold(held time.Duration) {
	mean := cmp.Or(places.holdTime, held)
	places.holdTime = mean + time.Duration(holdWeight*float64(held-mean))
}

// meanHold returns the mean time that a permit is held.
func (places *places) meanHold() time.Duration { return cmp.Or(places.holdTime, firstHoldTime) }

// lease returns how long a permit that is issued now occupies its place.
func (places *places) lease() time.Duration {
	return max(min(leaseFactor*cmp.Or(places.holdTime, maxLease), maxLease), places.room.MinLease())
}

// available reports whether a place can be taken now.
func (places *places) available(now time.Time) bool {
	return places.free(now) > 0 && !now.Before(places.pausesUntil(now))
}

// pausesUntil returns the earliest time at which the next place may be taken if one is free.
func (places *places) pausesUntil(now time.Time) time.Time {
	size := places.size(now)
	if size == 0 || 2*len(places.holders) < size || !places.room.Paced() {
		return time.Time{}
	}
	return places.takenAt.Add(places.meanHold() / time.Duration(pace*size))
}

// take occupies a place.
func (places *places) take(now time.Time, id AskID) {
	places.takenAt = now
	places.holders[id] = place{grantedAt: now, expiresAt: now.Add(places.lease())}
}

// expire frees the places of permits that were neither returned nor reported in time.
func (places *places) expire(now time.Time) {
	for id, place := range places.holders {
		if !now.Before(place.expiresAt) {
			delete(places.holders, id)
		}
	}
}

// timeUntil returns how long it takes until the given number of places is expected to be free.
func (places *places) timeUntil(now time.Time, wanted int) time.Duration {
	missing := wanted - places.free(now)
	if missing <= 0 {
		return max(places.pausesUntil(now).Sub(now), 0)
	}
	if thawsAt := places.room.ThawsAt(now); !thawsAt.IsZero() {
		return thawsAt.Sub(now)
	}
	return places.meanHold() * time.Duration(missing) / time.Duration(max(places.size(now), 1))
}

// nextChange returns when a place may be taken if none is returned before; the zero time if that
// does not change.
func (places *places) nextChange(now time.Time) time.Time {
	if places.free(now) > 0 {
		return places.pausesUntil(now)
	}
	next := places.room.ThawsAt(now)
	for _, place := range places.holders {
		if next.IsZero() || place.expiresAt.Before(next) {
			next = place.expiresAt
		}
	}
	return next
}
