package runner

import (
	"context"
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

// FreeAddress returns an address on loopback that nobody listens on, for a part
// that has to know its address before it is started.
func FreeAddress(ctx context.Context) (string, error) {
	for range portCount {
		port := lowestPort + rand.IntN(portCount) //nolint:gosec // Which port it is keeps no secret.
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", failer.New("runner.FreeAddress", NotListening, "no port of %d from %d on is free", portCount, lowestPort)
}
