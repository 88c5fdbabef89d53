package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"

	"limpetcleat/failer"
)

const (
	// The ports from lowestPort to lowestPort+portCount-1 lie below the range that
	// operating systems assign to outgoing connections.
	lowestPort = 18000
	portCount  = 12000
	loopback   = "127.0.0.1"
)

// Reservation reserves a loopback address for a component that has to know its
// address before it starts, or that is restarted on the same address.
type Reservation struct {
	address string
	// guard is a UDP socket on the same port. It leaves the TCP port free and
	// prevents other reservations of the address, including by other processes.
	guard net.PacketConn
}

// Reserve reserves an address without a TCP listener until the reservation is
// closed. If it finds none, it returns an error of kind NotListening.
func Reserve(ctx context.Context) (*Reservation, error) {
	for range portCount {
		port := lowestPort + rand.IntN(portCount) //nolint:gosec // The port need not be unpredictable.
		reservation, err := reserve(ctx, net.JoinHostPort(loopback, strconv.Itoa(port)))
		if err == nil {
			return reservation, nil
		}
	}
	return nil, failer.New("runner.Reserve", NotListening, "no free port among %d ports starting at %d", portCount, lowestPort)
}

// reserve reserves one address. It probes for a listener only after it has opened
// the guard, so that the probe never collides with a component that is starting
// on an address reserved for it.
func reserve(ctx context.Context, address string) (*Reservation, error) {
	guard, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(err, guard.Close())
	}
	if err := listener.Close(); err != nil {
		return nil, errors.Join(err, guard.Close())
	}
	return &Reservation{address: address, guard: guard}, nil
}

// Address returns the reserved IP address with its port.
func (reservation *Reservation) Address() string { return reservation.address }

// Close releases the address.
func (reservation *Reservation) Close() error { return reservation.guard.Close() }
