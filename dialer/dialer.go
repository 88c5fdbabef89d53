// Package dialer opens TCP connections to upstreams, to the platform's store and to peers,
// with keepalive probes and a limit on unacknowledged data. A connection whose other end no
// longer responds therefore fails with an error within seconds.
//
// A connection may stop carrying data in both directions without a reset, while new
// connections to the same address work. Only probes from this side detect the failure: without
// them a watch on the store would wait for its full duration, and a request would be written
// to a connection that nobody reads.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"limpetcleat/sizer"
)

const (
	// MaxHeadBytes limits the head of an answer of the platform, of an upstream or of a node.
	MaxHeadBytes = 64 << 10
	// SilenceLimit is how long the other end's kernel may acknowledge nothing before the
	// connection is closed. An upstream that leaves must receive no request from 2 s after
	// the store announced it; after connections were damaged, the platform allows 3 s. With
	// a limit of 2 s, one second is left to read the list of upstreams again.
	SilenceLimit = 2 * time.Second
	// ExchangeSilenceLimit is the same for a connection with a request under way, which would be lost with
	// it: a VM that pauses or a link that recovers lets it go on. TCP sends lost data again after 0.2 s, and
	// each time after twice the time before, so that data which got through after 6 s is acknowledged.
	ExchangeSilenceLimit = 8 * time.Second
	// probeIdle and probeInterval are the time before the first keepalive probe of an idle
	// connection and the time between probes, both the least that the kernel accepts. The
	// kernel closes a connection at the first probe due after SilenceLimit; a kernel that
	// only counts probes closes it after probeCount of them.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer whose connections have keepalive probes and fail after SilenceLimit.
// The timeout limits the time to connect.
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

// Dial opens a connection to an address of a network.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Sized returns what opens connections by the dialer with receive buffers of the sizer; nil leaves their size
// to the kernel.
func Sized(dialer *net.Dialer, sizer *sizer.Sizer) Dial {
	if sizer == nil {
		return dialer.DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return sizer.DialContext(ctx, dialer, network, address)
	}
}

// Protect sets the keepalive probes and the limit on unacknowledged data on an accepted connection.
func Protect(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = errors.Join(
			unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeIdle.Seconds())),
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())),
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount),
		)
	})
	return errors.Join(err, failure, limitSilence("", "", raw))
}

// limitSilence sets TCP_USER_TIMEOUT, which limits how long sent data may stay unacknowledged.
// The probes do not cover this case: the kernel sends none while data is unacknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error { return setLimit(raw, SilenceLimit) }

// SetSilenceLimit replaces SilenceLimit for a connection. The limit also applies to the time in which the
// other end acknowledges everything but has no room for more.
func SetSilenceLimit(conn syscall.Conn, limit time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setLimit(raw, limit)
}

func setLimit(raw syscall.RawConn, limit time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Acknowledged reports whether the other end's kernel has acknowledged all that was sent to it.
func Acknowledged(conn syscall.Conn) (bool, error) {
	info, err := readInfo(conn)
	if err != nil {
		return false, err
	}
	return info.Unacked == 0, nil
}

// Unheard returns how long the other end's kernel has acknowledged nothing. With the keepalive probes that is
// little more than a second while it runs and can be reached.
func Unheard(conn syscall.Conn) (time.Duration, error) {
	info, err := readInfo(conn)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}

// readInfo returns what the kernel knows of a connection.
func readInfo(conn syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, failure)
}
