package connector

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc/pool"

	"limpetcleat/logger"
)

// relayDelay is how long a direct connection attempt may take before another one is made through a
// relay. Attempts on an intact path take some 5 ms at most.
const relayDelay = 100 * time.Millisecond

// probeTimeout limits a direct connection attempt that tests a path.
const probeTimeout = 100 * time.Millisecond

// cutOffDelay replaces relayDelay while other paths are lost.
const cutOffDelay = 20 * time.Millisecond

// lateDial is how much longer than its timeout a failed attempt to connect lasts if this process noticed the end late.
const lateDial = 50 * time.Millisecond

// cutOffPaths is the number of lost paths from which on all idle direct connections are closed: a
// single path may seem lost because of lost packets.
const cutOffPaths = 3

// maxTests is the number of paths that are tested at a time after another one was lost.
const maxTests = 16

// errSlow is why a direct connection attempt is given up that has no result yet.
var errSlow = errors.New("no connection within the time limit")

// Relay opens connections to upstreams through other nodes.
type Relay interface {
	// Dial connects to the address through another node.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// open opens a connection to the address: directly or, if the direct path is lost, through the
// relay. The error is that of the direct attempt.
func (connector *Connector) open(ctx context.Context, address string) (net.Conn, error) {
	if connector.relay == nil {
		return connector.dialDirect(ctx, address, dialTimeout)
	}
	if connector.paths.useLost(address, time.Now()) {
		if conn, err := connector.relay.Dial(ctx, address); err == nil {
			return conn, nil
		}
	}
	attempt := make(chan directResult, 1)
	if !connector.start(func() {
		conn, err := connector.dialDirect(ctx, address, dialTimeout)
		attempt <- directResult{conn, err}
	}) {
		return nil, net.ErrClosed
	}
	patience := time.NewTimer(connector.relayDelay())
	defer patience.Stop()
	select {
	case result := <-attempt:
		return connector.finishDirect(ctx, address, result)
	case <-patience.C:
	}
	relayed, err := connector.openRelayed(ctx, address, errSlow)
	if err != nil {
		return connector.finishDirect(ctx, address, <-attempt)
	}
	connector.start(func() {
		if result := <-attempt; result.err == nil {
			connector.putProbed(address, result.conn)
		}
	})
	return relayed, nil
}

// relayDelay returns how long a direct attempt may take before a relay is tried.
func (connector *Connector) relayDelay() time.Duration {
	if connector.paths.lostCount() > 0 {
		return cutOffDelay
	}
	return relayDelay
}

// Dial opens a direct connection to the address for a peer, which does not go to the pool. It fails at
// once if the path is known to be lost.
func (connector *Connector) Dial(ctx context.Context, address string) (net.Conn, error) {
	if connector.paths.isLost(address) {
		return nil, fail("dial", PathLost, "the path to %s is lost", address)
	}
	conn, err := connector.dialDirect(ctx, address, dialTimeout)
	if err != nil {
		return nil, fail("dial", Unconnected, "%w", err)
	}
	return conn, nil
}

// directResult is the result of a direct connection attempt.
type directResult struct {
	conn net.Conn
	err  error
}

// finishDirect returns the connection of a direct attempt, or one through the relay if it failed.
func (connector *Connector) finishDirect(ctx context.Context, address string, result directResult) (net.Conn, error) {
	if result.err == nil {
		connector.pathRestored(address)
		return result.conn, nil
	}
	return connector.openRelayed(ctx, address, result.err)
}

// dialDirect opens a connection without the relay. An attempt whose end this process noticed late is repeated once: the
// process was paused or had no processor time, which says nothing about the upstream.
func (connector *Connector) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	began := time.Now()
	conn, err := connector.dialOnce(ctx, address, timeout)
	if err == nil || ctx.Err() != nil || time.Since(began) < timeout+lateDial {
		return conn, err
	}
	return connector.dialOnce(ctx, address, timeout)
}

// dialOnce makes one attempt to open a connection without the relay.
func (connector *Connector) dialOnce(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return connector.dial(ctx, address)
}

// openRelayed opens a connection through the relay after a direct attempt failed because of the
// cause. If it succeeds, the direct path counts as lost. The error is the cause.
func (connector *Connector) openRelayed(ctx context.Context, address string, cause error) (net.Conn, error) {
	running, allowed := connector.paths.beginTrial(address, time.Now())
	if !allowed {
		return nil, cause
	}
	if running == nil {
		return connector.tryRelay(ctx, address, cause)
	}
	select {
	case <-running:
	case <-ctx.Done():
		return nil, cause
	}
	if !connector.paths.useLost(address, time.Now()) {
		return nil, cause
	}
	conn, err := connector.relay.Dial(ctx, address)
	if err != nil {
		return nil, cause
	}
	return conn, nil
}

// tryRelay performs the trial that beginTrial allowed.
func (connector *Connector) tryRelay(ctx context.Context, address string, cause error) (net.Conn, error) {
	silent := isSilence(cause)
	select {
	case connector.paths.slots <- struct{}{}:
		defer func() { <-connector.paths.slots }()
	case <-ctx.Done():
		connector.paths.endTrial(address, time.Now(), false, silent)
		return nil, cause
	}
	conn, err := connector.relay.Dial(ctx, address)
	if connector.paths.endTrial(address, time.Now(), err == nil, silent) {
		connector.pathLost(address, silent, cause)
		connector.testOthers(address)
	}
	if err != nil {
		return nil, cause
	}
	return conn, nil
}

// pathLost closes the idle connections that may be lost with a path without a sign until they are
// used: those to the address and, once enough paths are lost, all.
func (connector *Connector) pathLost(address string, silent bool, cause error) {
	connector.log(logger.EventPathLost, "address", address, "silent", silent, "cause", cause)
	connector.Drop(address)
	if connector.paths.lostCount() == cutOffPaths {
		connector.dropDirect()
	}
}

// isSilence reports whether a connection attempt failed without an answer from the other end.
func isSilence(err error) bool {
	var timeout net.Error
	return errors.Is(err, errSlow) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// pathRestored records that the direct path works.
func (connector *Connector) pathRestored(address string) {
	if lostAt, ended := connector.paths.restore(address); ended {
		connector.log(logger.EventPathRestored, "address", address, "lostMs", time.Since(lostAt).Milliseconds())
		connector.Drop(address) // Connections through the relay take two paths for one.
	}
}

// putProbed puts the connection of a successful direct attempt into the pool.
func (connector *Connector) putProbed(address string, conn net.Conn) {
	connector.pathRestored(address)
	connector.putOpened(address, conn)
}

// putOpened puts a connection that has carried no exchange yet into the pool, or closes it if connections to
// the address need leave.
func (connector *Connector) putOpened(address string, conn net.Conn) {
	if connector.isLimited(address) {
		_ = conn.Close() // Nothing was sent on it.
		return
	}
	connection := connector.newConnection(conn)
	connection.idleUntil = time.Now().Add(defaultIdleTimeout)
	connector.putIdle(address, connection)
}

// probePaths tests lost paths, and those on which requests wait in silence. Tests run in the
// background, each for probeTimeout and the time of a trial at most.
func (connector *Connector) probePaths(now time.Time) {
	if connector.relay == nil {
		return
	}
	for _, address := range connector.paths.dueProbes(now) {
		connector.start(func() { connector.probe(address, false) })
	}
	for _, address := range connector.silentAddresses(now) {
		if connector.paths.lostSilently(address) {
			connector.abandonSilent(address, now)
			continue
		}
		if connector.paths.probeSilent(address, now) {
			connector.start(func() { connector.probe(address, true) })
		}
	}
}

// testOthers tests the paths to all other addresses with connections, in the background: what cuts
// off one upstream may cut off others, and the requests on the next connections would be lost.
func (connector *Connector) testOthers(lost string) {
	if !connector.testing.CompareAndSwap(false, true) {
		return
	}
	connector.start(func() {
		defer connector.testing.Store(false)
		tests := pool.New().WithMaxGoroutines(maxTests)
		for _, address := range connector.connectedAddresses() {
			if address != lost && connector.paths.beginTest(address, time.Now()) {
				tests.Go(func() { connector.probe(address, true) })
			}
		}
		tests.Wait()
	})
}

// probe tests a direct path. If it fails and trial is set, the path counts as lost if others are;
// else the relay is tried, which shows whether the path or the upstream is lost.
func (connector *Connector) probe(address string, trial bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+dialTimeout)
	defer cancel()
	conn, err := connector.dialDirect(ctx, address, probeTimeout)
	connector.paths.endProbe(address, err == nil)
	if err == nil {
		connector.putProbed(address, conn)
		return
	}
	if !trial {
		return
	}
	if silent := isSilence(err); connector.paths.loseWithOthers(address, time.Now(), silent) {
		connector.pathLost(address, silent, err)
		return
	}
	if conn, err := connector.openRelayed(ctx, address, err); err == nil {
		connector.putOpened(address, conn)
	}
}
