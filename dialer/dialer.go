// Package dialer makes the connections to upstreams, to the platform's store and
// to peers in such a way that one that has gone silent ends with an error.
//
// A connection may stop carrying anything, in both directions and without a
// reset, while new ones to the same address work. Nothing but probes of this
// side's own shows it: a watch on the store would wait for its whole span, and a
// request would be written to where nobody reads it.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// SilenceLimit is how long the other end's kernel may acknowledge nothing
	// before the connection is given up. An upstream that leaves must get no request
	// 2 s after the store said so, and the platform allows 3 s after connections
	// were harmed; with the list read again, 2 s leave a second of that.
	SilenceLimit = 2 * time.Second
	// probeIdle and probeInterval are when an idle connection is probed, the least
	// that the kernel takes. It ends a connection at the first probe due after
	// SilenceLimit, and a kernel that counts only probes after probeCount.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer whose connections are probed; connecting takes at most the
// timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: limitSilence,
	}
}

// limitSilence bounds how long written bytes may stay unacknowledged: while some
// are, the kernel sends no probes.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
	})
	return errors.Join(err, failure)
}
