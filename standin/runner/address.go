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
	// Ports from lowestPort on lie below those that systems give to outgoing
	// connections.
	lowestPort = 18000
	portCount  = 12000
	loopback   = "127.0.0.1"
)

// Reservation keeps an address on loopback for a part that has to know its address
// before it is started, and that may be ended and started there again.
type Reservation struct {
	address string
	// guard is a datagram socket of the same port: it leaves the address free for
	// connections and keeps other reservations, of other processes too, away from it.
	guard net.PacketConn
}

// Reserve returns an address on which nobody takes connections, until it is closed.
func Reserve(ctx context.Context) (*Reservation, error) {
	for range portCount {
		port := lowestPort + rand.IntN(portCount) //nolint:gosec // Which port it is keeps no secret.
		reservation, err := reserve(ctx, net.JoinHostPort(loopback, strconv.Itoa(port)))
		if err == nil {
			return reservation, nil
		}
	}
	return nil, failer.New("runner.Reserve", NotListening, "no port of %d from %d on is free", portCount, lowestPort)
}

// reserve reserves one address. The probe for listeners comes behind the guard, so
// that it never meets a part that is just starting at an address reserved for it.
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

// Address returns the address, an IP address with a port.
func (reservation *Reservation) Address() string { return reservation.address }

// Close gives the address up.
func (reservation *Reservation) Close() error { return reservation.guard.Close() }
