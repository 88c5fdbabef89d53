// Package acceptor accepts the connections of callers that a node can serve. A node that is short of
// processor time closes further connections without reading from them, at once and at little cost: their
// callers know that nothing ran, and connect again to another node. What was read is served as before.
//
// Two measures decide. The connections that were accepted and wait for their goroutine are a queue, which is
// bounded by the time that it takes to work it off: that meets a crowd at once. And a node is short of processor
// time while its own wake-ups are late all the time: then the rate of new connections falls until they are not.
// Delays that come and go, as after a suspension or while a share of the processor is used up, are no shortage.
package acceptor

import (
	"sync"
	"time"
)

const (
	// windowLength is the time over which the smallest delay of a wake-up decides, and minSamples the
	// number of wake-ups that it must include.
	windowLength = 500 * time.Millisecond
	minSamples   = 4
	// firstCut and cut are the factors by which the rate of accepted connections falls when a shortage
	// begins, and with each further window of it.
	firstCut = 0.5
	cut      = 0.7
	// growth and growthStep raise the rate with each window without a shortage.
	growth     = 1.25
	growthStep = 1.0
	// minRate is the number of connections per second that are accepted in any shortage, so that callers
	// do not take the node for one that has ended.
	minRate = 2.0
	// maxBurst is the time for which unused acceptances accumulate, in seconds.
	maxBurst = 0.25
	// calmWindows is the number of consecutive windows without a shortage and without a closed connection
	// after which all connections are accepted again.
	calmWindows = 4
	// minQueue is the number of connections that may wait for their goroutine in any case. firstSpacing is
	// taken for the time between two of them beginning while that is unknown, and spacingWeight is the
	// weight of one in the moving average.
	minQueue      = 8
	firstSpacing  = time.Millisecond
	spacingWeight = 0.1
)

// Reason is why a connection was closed unread.
type Reason string

const (
	// Busy means that the node is short of processor time.
	Busy Reason = "busy"
	// Crowded means that too many connections wait for their goroutine.
	Crowded Reason = "crowded"
	// Unread means that too many connections were open on which no header of a request had been received,
	// and that this one had waited longest.
	Unread Reason = "unread"
	// Full means that as many connections were open as the memory of the node allows.
	Full Reason = "full"
	// Idle means the same, and that a new connection was accepted in place of this one, which had been idle for
	// longest.
	Idle Reason = "idle"
	// Exhausted means that there was no memory for the header of a request.
	Exhausted Reason = "exhausted"
)

// Change is the beginning or the end of a shortage.
type Change struct {
	// Short is set at the beginning.
	Short bool
	// Delay is the smallest delay of a wake-up in the window that decided, Target the one that is allowed.
	Delay  time.Duration
	Target time.Duration
	// Rate is the number of connections accepted per second from now on, if Short is set, and Closed the
	// number of connections that were closed unread in the shortage that has ended.
	Rate   float64
	Closed int
}

// Controller decides which new connections are accepted, by how late the wake-ups of the process are. It is
// safe for concurrent use and reads no clock.
type Controller struct {
	// target returns the delay of a wake-up that may last.
	target func() time.Duration

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// queued is the number of connections that wait for their goroutine. begunAt is when the last one
	// began while others waited, the zero time if none did, lastGap the time between the last two, and
	// spacing the mean of the times between two.
	queued  int
	begunAt time.Time
	lastGap time.Duration
	spacing time.Duration
	// windowStart, smallest and samples describe the wake-ups of the current window, accepted and closed
	// the connections in it.
	windowStart time.Time
	smallest    time.Duration
	samples     int
	accepted    int
	closed      int
	// short is set in a shortage. rate is then the number of connections accepted per second, credit how
	// many may be accepted at creditedAt, calm the number of calm windows and totalClosed that of the
	// connections closed since it began.
	short       bool
	rate        float64
	credit      float64
	creditedAt  time.Time
	calm        int
	totalClosed int
}

// NewController returns a Controller that accepts all connections while the delay of wake-ups is at times
// below what target returns.
func NewController(now time.Time, target func() time.Duration) *Controller {
	return &Controller{target: target, spacing: firstSpacing, windowStart: now}
}

// RecordWakeUp records how late a wake-up was, and returns whether a shortage begins or ends with it.
func (controller *Controller) RecordWakeUp(now time.Time, delay time.Duration) (Change, bool) {
	target := controller.target()
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if controller.samples == 0 || delay < controller.smallest {
		controller.smallest = delay
	}
	controller.samples++
	if now.Sub(controller.windowStart) < windowLength || controller.samples < minSamples {
		return Change{}, false
	}
	return controller.endWindow(now, target)
}

// endWindow adapts the rate to the window that has ended. The mutex is held.
func (controller *Controller) endWindow(now time.Time, target time.Duration) (Change, bool) {
	span := now.Sub(controller.windowStart).Seconds()
	late, accepted, closed := controller.smallest, controller.accepted, controller.closed
	controller.windowStart, controller.samples, controller.accepted, controller.closed = now, 0, 0, 0
	switch {
	case late > target && !controller.short:
		controller.short, controller.calm, controller.totalClosed = true, 0, 0
		controller.rate = max(firstCut*float64(accepted)/span, minRate)
		controller.credit, controller.creditedAt = 0, now
		return Change{Short: true, Delay: late, Target: target, Rate: controller.rate}, true
	case late > target:
		controller.calm = 0
		controller.rate = max(cut*min(controller.rate, float64(accepted)/span), minRate)
	case controller.short:
		return controller.relax(late, target, closed)
	}
	return Change{}, false
}

// relax raises the rate after a window without a shortage, and ends the shortage if no connection was closed
// for long enough. The mutex is held.
func (controller *Controller) relax(late, target time.Duration, closed int) (Change, bool) {
	controller.rate = growth*controller.rate + growthStep
	controller.calm++
	if closed > 0 {
		controller.calm = 0
	}
	if controller.calm < calmWindows {
		return Change{}, false
	}
	controller.short = false
	return Change{Delay: late, Target: target, Closed: controller.totalClosed}, true
}

// Accept returns why a new connection is not accepted, or an empty reason. One that is accepted must be
// passed to Begin.
func (controller *Controller) Accept(now time.Time) Reason {
	target := controller.target()
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	reason := Reason("")
	switch {
	case controller.queued >= controller.room(target):
		reason = Crowded
	case controller.short && !controller.takeCredit(now):
		reason = Busy
	}
	if reason != "" {
		controller.closed++
		controller.totalClosed++
		return reason
	}
	controller.accepted++
	controller.queued++
	return ""
}

// Room returns how many connections may wait for their goroutine, and the mean time between two beginning.
func (controller *Controller) Room() (room int, spacing time.Duration) {
	target := controller.target()
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.room(target), controller.spacing
}

// room returns how many connections may wait for their goroutine. The mutex is held.
func (controller *Controller) room(target time.Duration) int {
	return max(int(target/max(controller.spacing, time.Microsecond)), minQueue)
}

// Begin records that the goroutine of an accepted connection runs.
func (controller *Controller) Begin(now time.Time) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if !controller.begunAt.IsZero() {
		gap := now.Sub(controller.begunAt)
		// A single long gap may be a suspension.
		controller.spacing += time.Duration(spacingWeight * float64(min(gap, controller.lastGap)-controller.spacing))
		controller.lastGap = gap
	}
	controller.queued--
	controller.begunAt = time.Time{}
	if controller.queued > 0 {
		controller.begunAt = now
	}
}

// takeCredit uses up one of the connections that may be accepted by the rate, if there is one. The mutex is
// held.
func (controller *Controller) takeCredit(now time.Time) bool {
	if now.After(controller.creditedAt) {
		most := max(1, controller.rate*maxBurst)
		controller.credit = min(controller.credit+controller.rate*now.Sub(controller.creditedAt).Seconds(), most)
		controller.creditedAt = now
	}
	if controller.credit < 1 {
		return false
	}
	controller.credit--
	return true
}
