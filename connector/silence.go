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

// lastLookTime is how long the last read of an exchange goes on that is given up.
const lastLookTime = time.Millisecond

// Silence decides whether an exchange goes on while nothing arrives from its upstream. Its methods are
// called by the goroutine that uses the exchange.
type Silence interface {
	// Limit returns how long nothing may arrive before Reached is called; 0 means without limit.
	Limit() time.Duration
	// Reached is called when nothing has arrived for Limit, and again after each further one. It returns the
	// error with which the exchange fails, or nil if it goes on.
	Reached(pause Pause) error
	// Resumed is called if something had arrived by the time at which Reached returned an error: the exchange
	// goes on.
	Resumed()
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
	silence Silence
	// heard is when something last arrived, or when the request was written, and later by the times by which
	// this process noticed late that nothing had. since is when the wait for the limit began.
	heard time.Time
	since time.Time
	// deadline is that of the current read. rechecking is set if it is past the limit, which was noticed
	// late.
	deadline   time.Time
	rechecking bool
	late       time.Duration
	// givenUp is the error with which the exchange fails unless something has arrived; nil before.
	givenUp error
}

// listen begins to measure the silence of an exchange whose request has been written; nil measures
// nothing.
func (connection *connection) listen(silence Silence) {
	if silence == nil {
		return
	}
	now := time.Now()
	connection.quiet = quiet{silence: silence, heard: now, since: now}
	connection.awaitUntil(connection.quiet.since.Add(silence.Limit()), false)
}

// stopListening ends the measurement. It must be called before the connection carries another exchange.
func (connection *connection) stopListening() {
	if connection.quiet.silence == nil {
		return
	}
	connection.quiet = quiet{}
	_ = connection.Conn.SetReadDeadline(time.Time{}) // Fails on a closed connection only.
}

// hasten makes the limit of silence apply to the next read if it has become shorter.
func (connection *connection) hasten() {
	quiet := &connection.quiet
	if quiet.silence == nil || quiet.rechecking || quiet.givenUp != nil {
		return
	}
	if due := quiet.since.Add(quiet.silence.Limit()); due.Before(quiet.deadline) {
		connection.awaitUntil(due, false)
	}
}

// resume records that something arrived.
func (connection *connection) resume(now time.Time) {
	quiet := &connection.quiet
	if quiet.silence == nil {
		return
	}
	quiet.heard, quiet.since = now, now
	if quiet.givenUp != nil {
		quiet.givenUp = nil
		quiet.silence.Resumed()
	}
}

// awaitUntil limits the time of the following reads.
func (connection *connection) awaitUntil(deadline time.Time, rechecking bool) {
	if connection.quiet.silence.Limit() == 0 {
		deadline = time.Time{}
	}
	connection.quiet.deadline, connection.quiet.rechecking = deadline, rechecking
	_ = connection.Conn.SetReadDeadline(deadline) // Fails on a closed connection only.
}

// endure decides what becomes of a read that has failed. It returns nil if the read is to be repeated.
func (connection *connection) endure(err error) error {
	quiet := &connection.quiet
	if quiet.silence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if quiet.givenUp != nil {
		return quiet.givenUp
	}
	now, limit := time.Now(), quiet.silence.Limit()
	switch due := quiet.since.Add(limit); {
	case limit == 0 || now.Before(due):
		connection.awaitUntil(due, false)
	case !quiet.rechecking:
		quiet.late = now.Sub(quiet.deadline)
		quiet.heard = quiet.heard.Add(quiet.late)
		connection.awaitUntil(now.Add(recheckTime), true)
	default:
		if quiet.givenUp = quiet.silence.Reached(Pause{Lasted: now.Sub(quiet.heard), Late: quiet.late, Unheard: connection.unheard()}); quiet.givenUp != nil {
			connection.awaitUntil(time.Now().Add(lastLookTime), true)
			return nil
		}
		quiet.since = time.Now()
		connection.awaitUntil(quiet.since.Add(quiet.silence.Limit()), false)
	}
	return nil
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

// limitSilence sets how long the other end's kernel may acknowledge nothing before the connection is closed,
// where that can be set. It reports whether the connection is still open.
func (connection *connection) limitSilence(limit time.Duration) bool {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	err := dialer.SetSilenceLimit(raw, limit)
	return err == nil || errors.Is(err, errors.ErrUnsupported)
}
