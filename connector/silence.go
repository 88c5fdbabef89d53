package connector

import (
	"errors"
	"os"
	"syscall"
	"time"

	"limpetcleat/dialer"
)

// recheckTime is how long a read goes on after the limit of silence has passed: bytes that arrived while
// this process did not run are returned at once.
const recheckTime = 20 * time.Millisecond

// acknowledgedCheckTime is how long nothing may arrive before it is checked whether the other end's kernel has
// acknowledged the request, and acknowledgedRecheckTime the time until the next check if it has not.
const (
	acknowledgedCheckTime   = time.Second
	acknowledgedRecheckTime = 250 * time.Millisecond
)

// lastLookTime is how long the last read of an exchange goes on that is given up.
const lastLookTime = time.Millisecond

// Silence decides whether an exchange goes on while nothing arrives from its upstream. Its methods are
// called by the goroutine that uses the exchange.
type Silence interface {
	// Limit returns how long nothing may arrive before Reached is called; 0 means without limit.
	Limit() time.Duration
	// Reached is called when nothing has arrived for Limit, and again after each further one. It reports whether
	// the exchange may fail; if so, either Resumed or Ended is called next.
	Reached(pause Pause) bool
	// Resumed is called if something had arrived by the time at which Reached returned.
	Resumed()
	// Ended is called if nothing had. It returns the error with which the exchange fails, or nil if it goes on.
	Ended() error
}

// Pause describes a time in which nothing arrived.
type Pause struct {
	// Lasted is how long nothing has arrived, without the times by which this process noticed that late.
	Lasted time.Duration
	// Late is how much later than due this process noticed that nothing had arrived.
	Late time.Duration
	// Unheard is how long the other end's kernel has acknowledged nothing; 0 if that is not known.
	Unheard time.Duration
}

// quiet measures the silence of an exchange. The zero value measures nothing. It is owned by the goroutine
// that uses the exchange.
type quiet struct {
	// measuring is set during an exchange; silence may be nil then.
	measuring bool
	silence   Silence
	// checkAt is when to check whether the request has been acknowledged.
	checkAt time.Time
	// heard is when something last arrived, or when the request was written, and later by the times by which
	// this process noticed late that nothing had. since is when the wait for the limit began.
	heard time.Time
	since time.Time
	// deadline is that of the current read. rechecking is set if it is past the limit, which was noticed
	// late.
	deadline   time.Time
	rechecking bool
	late       time.Duration
	// failing is set once Reached has reported that the exchange may fail.
	failing bool
}

// listen begins to measure the silence of an exchange whose request has been written; nil endures all of it.
func (connection *connection) listen(silence Silence) {
	now := time.Now()
	connection.quiet = quiet{measuring: true, silence: silence, heard: now, since: now, checkAt: now.Add(acknowledgedCheckTime)}
	connection.awaitUntil(connection.quiet.due(), false)
}

// stopListening ends the measurement. It must be called before the connection carries another exchange, and
// reports whether the connection may do so.
func (connection *connection) stopListening() bool {
	if !connection.quiet.measuring {
		return true
	}
	connection.quiet = quiet{}
	_ = connection.Conn.SetReadDeadline(time.Time{}) // Fails on a closed connection only.
	return connection.restoreLimit()
}

// wait is a wait for an answer, as far as quiet measures it.
type wait struct{ heard, since time.Time }

// wait returns the present wait.
func (quiet *quiet) wait() wait { return wait{heard: quiet.heard, since: quiet.since} }

// continueWait undoes what arrived since the wait was returned: it was no answer.
func (quiet *quiet) continueWait(wait wait) {
	if quiet.measuring {
		quiet.heard, quiet.since = wait.heard, wait.since
	}
}

// limit returns how long nothing may arrive; 0 means without limit.
func (quiet *quiet) limit() time.Duration {
	if quiet.silence == nil {
		return 0
	}
	return quiet.silence.Limit()
}

// due returns when the wait for the limit ends; the zero time if there is no limit.
func (quiet *quiet) due() time.Time {
	if limit := quiet.limit(); limit > 0 {
		return quiet.since.Add(limit)
	}
	return time.Time{}
}

// hasten makes the limit of silence apply to the next read if it has become shorter.
func (connection *connection) hasten() {
	quiet := &connection.quiet
	if !quiet.measuring || quiet.rechecking || quiet.failing {
		return
	}
	if due := quiet.due(); !due.IsZero() && due.Before(quiet.deadline) {
		connection.awaitUntil(due, false)
	}
}

// resume records that something arrived.
func (connection *connection) resume(now time.Time) {
	quiet := &connection.quiet
	if !quiet.measuring {
		return
	}
	quiet.heard, quiet.since, quiet.checkAt = now, now, now.Add(acknowledgedCheckTime)
	if quiet.failing {
		quiet.failing = false
		quiet.silence.Resumed()
	}
}

// awaitUntil limits the time of the following reads; the zero time does not, but for the check whether the
// request has been acknowledged.
func (connection *connection) awaitUntil(deadline time.Time, rechecking bool) {
	if checkAt := connection.quiet.checkAt; !connection.raised.Load() && (deadline.IsZero() || checkAt.Before(deadline)) {
		deadline = checkAt
	}
	connection.quiet.deadline, connection.quiet.rechecking = deadline, rechecking
	_ = connection.Conn.SetReadDeadline(deadline) // Fails on a closed connection only.
}

// endure decides what becomes of a read that has failed. It returns nil if the read is to be repeated.
func (connection *connection) endure(err error) error {
	quiet := &connection.quiet
	if !quiet.measuring || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if quiet.failing {
		quiet.failing = false
		if err := quiet.silence.Ended(); err != nil {
			return err
		}
		connection.waitAgain()
		return nil
	}
	now := time.Now()
	if !connection.raised.Load() && !now.Before(quiet.checkAt) {
		connection.raiseLimit()
		quiet.checkAt = now.Add(acknowledgedRecheckTime)
	}
	switch due := quiet.due(); {
	case due.IsZero() || now.Before(due):
		connection.awaitUntil(due, false)
	case !quiet.rechecking:
		quiet.late = min(now.Sub(due), max(now.Sub(quiet.deadline), 0))
		quiet.heard = quiet.heard.Add(quiet.late)
		connection.awaitUntil(now.Add(recheckTime), true)
	default:
		quiet.failing = quiet.silence.Reached(Pause{Lasted: now.Sub(quiet.heard), Late: quiet.late, Unheard: connection.unheard()})
		if quiet.failing {
			connection.awaitUntil(time.Now().Add(lastLookTime), true)
			return nil
		}
		connection.waitAgain()
	}
	return nil
}

// waitAgain begins another wait for the limit.
func (connection *connection) waitAgain() {
	quiet := &connection.quiet
	quiet.since = time.Now()
	connection.awaitUntil(quiet.due(), false)
}

// unheard returns how long the other end's kernel has acknowledged nothing, or 0.
func (connection *connection) unheard() time.Duration {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	span, err := dialer.Unheard(raw)
	if err != nil {
		return 0 // The connection is closed, or its kind has no such time.
	}
	return span
}

// raiseLimit lets the other end's kernel be silent for longer once it has acknowledged all that was sent to it:
// the request is there, and would be lost with the connection. What it has not acknowledged must not reach it
// late.
func (connection *connection) raiseLimit() {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if acknowledged, err := dialer.Acknowledged(raw); err != nil || !acknowledged {
		return
	}
	if dialer.SetSilenceLimit(raw, dialer.ExchangeSilenceLimit) == nil {
		connection.raised.Store(true)
	}
}

// restoreLimit ends what raiseLimit has set. It reports whether the connection is still open.
func (connection *connection) restoreLimit() bool {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok || !connection.raised.CompareAndSwap(true, false) {
		return true
	}
	return dialer.SetSilenceLimit(raw, dialer.SilenceLimit) == nil
}
