package connector

import (
	"context"
	"time"
)

// Reservation is a connection that is kept for one exchange to come. It is owned by one goroutine, which
// passes it to Send or calls Release.
type Reservation struct {
	connector  *Connector
	address    string
	connection *connection
}

// Reserve returns an idle connection to the address for a request with the id, or opens one if that is admitted; nil
// admits it. The error is of kind Denied or Unconnected.
func (connector *Connector) Reserve(ctx context.Context, address, id string, admission Admission) (*Reservation, error) {
	connection, err := connector.connect(ctx, address, connector.key(id), admission)
	if err != nil {
		return nil, err
	}
	if connection.exchanges() == 0 {
		connection.idleUntil = time.Now().Add(defaultIdleTimeout)
	}
	return &Reservation{connector: connector, address: address, connection: connection}, nil
}

// Release gives the connection to the pool.
func (reservation *Reservation) Release() {
	reservation.connector.putIdle(reservation.address, reservation.connection)
}

// connectFor returns the connection that is reserved for a request if it can still be used, or another one.
func (connector *Connector) connectFor(ctx context.Context, address string, key requestKey, outgoing *Outgoing) (*connection, error) {
	if reservation := outgoing.Reservation; reservation != nil {
		if reservation.connection.reusable(time.Now()) && !reservation.connection.hasCarried(key) {
			return reservation.connection, nil
		}
		_ = reservation.connection.Close()
	}
	return connector.connect(ctx, address, key, outgoing.Admission)
}
