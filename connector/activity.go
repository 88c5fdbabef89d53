package connector

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// activity holds the direct connections to one address that carry an exchange.
type activity struct {
	// conns is guarded by the connector's mutex.
	conns map[*connection]struct{}
	// heardAt is when anything last came over one of them, as the time since the connector's start
	// in nanoseconds; 0 if nothing has.
	heardAt atomic.Int64
}

func newActivity() *activity { return &activity{conns: make(map[*connection]struct{})} }

// beginExchange records that an exchange begins on a connection. Only direct connections
// count, since what comes through a relay shows nothing of the direct path.
func (connector *Connector) beginExchange(address string, connection *connection, repeatable bool) {
	if connector.relay == nil || connection.relayed() {
		return
	}
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	active, ok := connector.active[address]
	if !ok {
		active = newActivity()
		connector.active[address] = active
	}
	active.conns[connection] = struct{}{}
	connection.beganAt, connection.repeatable = time.Since(connector.startedAt), repeatable
	connection.answered.Store(false)
	connection.activity.Store(active)
}

// endExchange records that the exchange on a connection has ended.
func (connector *Connector) endExchange(address string, connection *connection) {
	active := connection.activity.Swap(nil)
	if active == nil {
		return
	}
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	delete(active.conns, connection)
	if len(active.conns) == 0 {
		delete(connector.active, address)
	}
}

// connectedAddresses returns the addresses with direct connections, idle or with an exchange.
func (connector *Connector) connectedAddresses() []string {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	addresses := slices.Collect(maps.Keys(connector.active))
	for address, idle := range connector.idle {
		_, active := connector.active[address]
		direct := slices.ContainsFunc(idle, func(connection *connection) bool { return !connection.relayed() })
		if direct && !active {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// silentAddresses returns the addresses at which an exchange has waited for silenceLimit while
// nothing came from there.
func (connector *Connector) silentAddresses(now time.Time) []string {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	elapsed := now.Sub(connector.startedAt)
	var silent []string
	for address, active := range connector.active {
		if elapsed-time.Duration(active.heardAt.Load()) < silenceLimit {
			continue
		}
		for connection := range active.conns {
			if elapsed-connection.beganAt >= silenceLimit {
				silent = append(silent, address)
				break
			}
		}
	}
	return silent
}

// abandonSilent closes the connections to an address whose path is lost on which a request that may
// be sent again has waited for silenceLimit.
func (connector *Connector) abandonSilent(address string, now time.Time) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	active, ok := connector.active[address]
	if !ok {
		return
	}
	for connection := range active.conns {
		waited := now.Sub(connector.startedAt) - connection.beganAt
		if connection.repeatable && !connection.answered.Load() && waited >= silenceLimit {
			connection.abandoned.Store(true)
			_ = connection.Close()
		}
	}
}
