package issuer

import (
	"math"
	"slices"
	"time"
)

const (
	// rejectionWindow is the span in which rejections count towards the tolerated number.
	rejectionWindow = time.Second
	// budgetShare is the part of the tolerated rejections after which no more permits are issued
	// within the window: other issuers, and requests under way, may cause as many.
	budgetShare = 0.5
	// startShare is the part of the slots that a start of an upstream gets at first.
	startShare = 0.25
	// extraShare is the part of the slots by which the room may exceed them, beside one request, so
	// that slots do not idle while permits and their returns are under way. It is at most
	// extraRejections of the tolerated rejections, since all of these requests may be rejected at
	// once when fewer may wait.
	extraShare      = 0.125
	extraRejections = 0.5
	// ceilingLifetime is how long the room stays at the number of requests at which the upstream
	// rejected one, and ceilingStep the interval at which it then grows by one.
	ceilingLifetime = 3 * time.Second
	ceilingStep     = time.Second
	// maxRoom bounds the room of an upstream whose slots are unknown.
	maxRoom = 1024
)

// Room estimates the number of requests that an upstream accepts at a time, of which it states its
// slots only: how many more may wait can change at any time and shows in rejections. It is not safe
// for concurrent use.
type Room struct {
	// slots is the number of requests that the upstream runs at a time; 0 is unknown.
	slots int
	// tolerated is the number of rejections within rejectionWindow that the upstream bears.
	tolerated float64
	// size is the number of requests that it accepted lately, at least 1. It grows by one for each
	// accepted request.
	size int
	// ceiling is the number of requests in flight at the last rejection, at ceilingAt; 0 if there
	// was none.
	ceiling   int
	ceilingAt time.Time
	// rejections are the times of the rejections within rejectionWindow.
	rejections []time.Time
}

// NewRoom returns the room of an upstream that has just started, or of which nothing is known: it
// grows with each accepted request. If it is known to be in use, all its slots count at once.
func NewRoom(slots int, inUse bool) *Room {
	room := &Room{slots: slots, size: max(int(startShare*float64(slots)), 1)}
	if inUse {
		room.size = max(slots, 1)
	}
	return room
}

// SetTolerated sets the number of rejections per second that the upstream bears.
func (room *Room) SetTolerated(perSecond float64) { room.tolerated = perSecond }

// Size returns how many requests may be in flight at the upstream; 0 while it has rejected as many
// as may be risked.
func (room *Room) Size(now time.Time) int {
	room.expire(now)
	if len(room.rejections) >= room.budget() {
		return 0
	}
	size := min(room.size, room.most())
	if room.ceiling > 0 {
		size = min(size, room.currentCeiling(now))
	}
	return size
}

// Paced returns true: permits that are issued at once may all be rejected before this is known.
func (room *Room) Paced() bool { return true }

// MinLease returns the shortest lease of the permit of a request.
func (room *Room) MinLease() time.Duration { return minLease }

// Rejected returns the number of rejections within the last second.
func (room *Room) Rejected(now time.Time) int {
	room.expire(now)
	return len(room.rejections)
}

// RejectedAt returns when the upstream last rejected a request; the zero time if it never did.
func (room *Room) RejectedAt() time.Time { return room.ceilingAt }

// ThawsAt returns when permits may be issued again; the zero time if they may be now.
func (room *Room) ThawsAt(now time.Time) time.Time {
	room.expire(now)
	if budget := room.budget(); len(room.rejections) >= budget {
		return room.rejections[len(room.rejections)-budget].Add(rejectionWindow)
	}
	return time.Time{}
}

// RecordAccepted records that the upstream ran a request.
func (room *Room) RecordAccepted() { room.size = min(room.size+1, room.most()) }

// RecordRejected records that the upstream rejected a request, with the given number of others in
// flight. If that was to be expected of a further request, the room stays at this number; otherwise
// the upstream has become smaller by an unknown amount, and the room is halved.
func (room *Room) RecordRejected(now time.Time, others int) {
	room.expire(now)
	room.rejections = append(room.rejections, now)
	others = max(others, 1)
	switch {
	case room.ceiling > 0 && others >= room.ceiling:
		room.size = others
	default:
		room.size = max(others/2, 1)
	}
	room.ceiling, room.ceilingAt = others, now
}

// RecordFound records that the given number of requests is in flight, some of them with permits of
// another issuer. A rejection before this was known was of a request beyond them.
func (room *Room) RecordFound(inFlight int) {
	if room.ceiling > 0 {
		room.ceiling = max(room.ceiling, inFlight)
	}
}

// currentCeiling returns the ceiling, raised by one for each ceilingStep since its lifetime.
func (room *Room) currentCeiling(now time.Time) int {
	beyond := now.Sub(room.ceilingAt) - ceilingLifetime
	if beyond < 0 {
		return room.ceiling
	}
	return room.ceiling + 1 + int(beyond/ceilingStep)
}

// most returns the largest room.
func (room *Room) most() int {
	if room.slots <= 0 {
		return maxRoom
	}
	extra := min(1+extraShare*float64(room.slots), extraRejections*room.tolerated)
	return room.slots + int(extra)
}

// budget returns the number of rejections within the window from which no more permits are issued.
func (room *Room) budget() int {
	return max(int(math.Ceil(budgetShare*min(room.tolerated, maxRoom))), 1)
}

// expire removes the rejections that have left the window.
func (room *Room) expire(now time.Time) {
	room.rejections = slices.DeleteFunc(room.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}
