package connector

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// lookTimeout bounds the question whether anything listens at an address. A VM that runs
// answers within some 3 ms, also for a process that has ended; one that is off, cut off or
// too busy does not, and a caller's request waits for this.
const lookTimeout = 100 * time.Millisecond

// Presence tells whether anything listens at an address.
type Presence string

const (
	// Listening means that a connection was made.
	Listening Presence = "listening"
	// Refused means that the VM answered that nothing listens there: a process that was
	// there has ended.
	Refused Presence = "refused"
	// Untold means that nothing came back, or that there was no way to ask.
	Untold Presence = "untold"
)

// Look tells whether anything listens at an address. The connection that shows it is kept
// for the next exchange.
func (connector *Connector) Look(ctx context.Context, address string) Presence {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	conn, err := connector.dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Untold
	}
	made := newConnection(conn)
	made.idleUntil = time.Now().Add(idleDefault)
	connector.put(address, made)
	return Listening
}
