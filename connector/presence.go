package connector

import (
	"context"
	"time"

	"limpetcleat/dialer"
)

// Look reports whether a process listens at an address, by connecting to it. The connection
// goes to the pool for the next exchange.
func (connector *Connector) Look(ctx context.Context, address string) dialer.Presence {
	presence, conn := dialer.Look(ctx, address)
	if conn != nil {
		connection := newConnection(conn)
		connection.idleUntil = time.Now().Add(defaultIdleTimeout)
		connector.putIdle(address, connection)
	}
	return presence
}
