package connector

import (
	"maps"
	"slices"
	"time"
)

// takeIdle returns the most recently used connection to the address that is reusable and has not carried the request,
// or nil. It closes those that it finds not to be reusable.
func (connector *Connector) takeIdle(address string, key requestKey) *connection {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	idle := connector.idle[address]
	for index := len(idle) - 1; index >= 0; index-- {
		candidate := idle[index]
		if candidate.hasCarried(key) {
			continue
		}
		idle = slices.Delete(idle, index, index+1)
		if candidate.reusable(time.Now()) {
			connector.setIdle(address, idle)
			return candidate
		}
		_ = candidate.Close()
	}
	connector.setIdle(address, idle)
	return nil
}

func (connector *Connector) putIdle(address string, connection *connection) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	full := connector.idleCount >= connector.maxIdle || len(connector.idle[address]) >= maxIdleConnections
	if connector.closed || full || connection.relayed() && !connector.paths.isLost(address) {
		_ = connection.Close()
		return
	}
	connector.setIdle(address, append(connector.idle[address], connection))
}

// setIdle sets the idle connections to an address. The mutex is held.
func (connector *Connector) setIdle(address string, idle []*connection) {
	connector.idleCount += len(idle) - len(connector.idle[address])
	if len(idle) == 0 {
		delete(connector.idle, address)
		return
	}
	connector.idle[address] = idle
}

// noteLimited records whether the address accepts a limited number of connections.
func (connector *Connector) noteLimited(address string, limited bool) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if limited {
		connector.limited[address] = time.Now()
		return
	}
	delete(connector.limited, address)
}

// isLimited reports whether the address accepts a limited number of connections.
func (connector *Connector) isLimited(address string) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	_, limited := connector.limited[address]
	return limited
}

// Sweep closes the idle connections that have expired by now or that the upstream has closed, and
// tests the paths that may be lost or restored, in the background.
func (connector *Connector) Sweep(now time.Time) {
	connector.sweepIdle(now)
	connector.probePaths(now)
}

func (connector *Connector) sweepIdle(now time.Time) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	maps.DeleteFunc(connector.limited, func(_ string, at time.Time) bool { return now.Sub(at) > limitedSpan })
	for address, idle := range connector.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if connection.reusable(now) {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
		}
		connector.setIdle(address, kept)
	}
}

// Drop closes the idle connections to an address. It is called when the process that listens
// there has restarted.
func (connector *Connector) Drop(address string) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	connector.closeIdle(address)
}

// closeIdle closes the idle connections to an address. The caller holds mutex.
func (connector *Connector) closeIdle(address string) {
	for _, connection := range connector.idle[address] {
		_ = connection.Close()
	}
	connector.setIdle(address, nil)
}

// dropDirect closes all idle direct connections.
func (connector *Connector) dropDirect() {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	for address, idle := range connector.idle {
		connector.setIdle(address, slices.DeleteFunc(slices.Clone(idle), func(connection *connection) bool {
			direct := !connection.relayed()
			if direct {
				_ = connection.Close()
			}
			return direct
		}))
	}
}

// Close closes the idle connections and waits for tests of paths. Connections in use are closed when
// their exchange ends.
func (connector *Connector) Close() {
	connector.closePool()
	connector.background.Wait()
}

func (connector *Connector) closePool() {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	connector.closed = true
	for address := range connector.idle {
		connector.closeIdle(address)
	}
}

// start runs a function in the background, which Close waits for. It reports whether the connector
// was still open.
func (connector *Connector) start(run func()) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if !connector.closed {
		connector.background.Go(run)
	}
	return !connector.closed
}
