package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// LookTimeout limits how long Look waits for a connection. A running VM accepts or refuses it
// within about 3 ms, also if the process has ended. A VM that is off, unreachable or overloaded
// does not answer, and a caller's request waits for the result.
const LookTimeout = 100 * time.Millisecond

// Presence is the result of Look: whether a process listens at an address.
type Presence string

const (
	// Listening means that the connection was accepted.
	Listening Presence = "listening"
	// Refused means that the VM refused the connection: the process that listened there has
	// ended.
	Refused Presence = "refused"
	// Untold means that it is unknown whether a process listens: the connection attempt
	// timed out, was cancelled or failed in another way.
	Untold Presence = "untold"
)

// PresenceOf returns what the result of a connection attempt tells.
func PresenceOf(err error) Presence {
	switch {
	case err == nil:
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Untold
}

// Look reports whether a process listens at an address, by connecting to it. With Listening it
// returns the connection, which the caller must close; otherwise the connection is nil.
func Look(ctx context.Context, address string) (Presence, net.Conn) {
	conn, err := New(LookTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return PresenceOf(err), nil
	}
	return Listening, conn
}
