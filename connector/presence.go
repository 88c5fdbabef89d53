package connector

import (
	"context"

	"limpetcleat/dialer"
)

// Look reports whether a process listens at an address, by connecting to it. If that fails, it asks
// through the relay, so that a lost path does not pass for a lost upstream. The connection goes to
// the pool for the next exchange.
func (connector *Connector) Look(ctx context.Context, address string) dialer.Presence {
	conn, err := connector.dialDirect(ctx, address, dialer.LookTimeout)
	if err != nil && connector.relay != nil {
		conn, err = connector.openRelayed(ctx, address, err)
	}
	if err == nil {
		connector.putOpened(address, conn)
	}
	return dialer.PresenceOf(err)
}
