// Package gatekeeper bounds the connections of this node to upstreams, each of which accepts a number of
// connections from all nodes together. A node opens a few without asking; for each further one it needs a
// permit, which it returns once it has that many fewer connections.
package gatekeeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/logger"
	"limpetcleat/throttler"
	"limpetcleat/timer"
)

const (
	// firstPause and longestPause bound how long no connection is opened to an upstream that has reset a
	// new one; the time doubles with each consecutive reset.
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
	// sweepThreshold is the number of gates from which on those without a connection are removed when
	// another one is added.
	sweepThreshold = 256
	// returnQueue is the number of permits that may wait to be returned; others lapse.
	returnQueue = 1024
)

// Permits grants the permits of connections.
type Permits interface {
	// Acquire asks for a permit.
	Acquire(ctx context.Context, need throttler.PermitRequest) throttler.Permit
	// Return ends the use of a permit.
	Return(holding *throttler.Holding, outcome issuer.Outcome)
	// Allowance returns how many connections may be open without a permit to an upstream that accepts the
	// given number from all nodes together.
	Allowance(accepted int) int
}

// Gatekeeper counts the connections to upstreams and holds the permits for them. It is safe for concurrent
// use.
//
// A Gatekeeper owns the worker that returns permits; Done is closed once it has ended.
type Gatekeeper struct {
	permits Permits
	log     func(number int, pairs ...any)
	// returned are the permits to return, so that closing a connection waits for no lock of another part.
	returned chan returnedPermit
	done     chan struct{}

	// mutex guards gates; no other lock is acquired while it is held.
	mutex sync.Mutex
	gates map[definer.UpstreamStart]*gate
}

// gate is what is known of the connections to one start of an upstream.
type gate struct {
	// open is the number of open connections, those that are being opened included, and allowance how many
	// may be open without a permit, as of the last request for one.
	open      int
	allowance int
	// holdings are the permits in use: at least as many as connections are open beyond the allowance.
	holdings []*throttler.Holding
	// resets counts the consecutive resets of new connections, and pausedUntil is until when none is opened
	// because of them.
	resets      int
	pausedUntil time.Time
}

// returnedPermit is a permit that is no longer needed.
type returnedPermit struct {
	holding *throttler.Holding
	outcome issuer.Outcome
}

// Option changes one setting of a Gatekeeper.
type Option func(*Gatekeeper)

// WithLog sets the function that receives numbered events; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(gatekeeper *Gatekeeper) { gatekeeper.log = log }
}

// New returns a Gatekeeper without connections.
func New(permits Permits, options ...Option) *Gatekeeper {
	gatekeeper := &Gatekeeper{
		permits:  permits,
		log:      func(int, ...any) {},
		returned: make(chan returnedPermit, returnQueue),
		done:     make(chan struct{}),
		gates:    make(map[definer.UpstreamStart]*gate),
	}
	for _, option := range options {
		option(gatekeeper)
	}
	return gatekeeper
}

// Start returns permits that are no longer needed until the context ends.
func (gatekeeper *Gatekeeper) Start(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { gatekeeper.returnPermits(ctx) })
	go func() {
		group.Wait()
		close(gatekeeper.done)
	}()
}

// Done returns a channel that is closed once the work begun by Start has ended.
func (gatekeeper *Gatekeeper) Done() <-chan struct{} { return gatekeeper.done }

func (gatekeeper *Gatekeeper) returnPermits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case returned := <-gatekeeper.returned:
			gatekeeper.permits.Return(returned.holding, returned.outcome)
		}
	}
}

// Open asks for leave to open a connection; need describes it. The error is a *Denial. The Pass must be
// closed with the connection.
func (gatekeeper *Gatekeeper) Open(ctx context.Context, need throttler.PermitRequest) (*Pass, error) {
	allowance := gatekeeper.permits.Allowance(need.Connections)
	pass := &Pass{gatekeeper: gatekeeper, start: need.Start, accepted: need.Connections}
	admitted, paused := gatekeeper.admit(time.Now(), need.Start, allowance)
	switch {
	case paused > 0:
		return nil, &Denial{RetryAfter: paused}
	case admitted:
		return pass, nil
	}
	permit := gatekeeper.permits.Acquire(ctx, need)
	if !permit.Granted {
		return nil, &Denial{RetryAfter: permit.RetryAfter}
	}
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(time.Now(), need.Start)
	gate.open++
	if permit.Holding != nil {
		gate.holdings = append(gate.holdings, permit.Holding)
	}
	return pass, nil
}

// admit counts another connection if it needs no further permit, or returns for how long none is opened.
func (gatekeeper *Gatekeeper) admit(now time.Time, start definer.UpstreamStart, allowance int) (admitted bool, paused time.Duration) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(now, start)
	gate.allowance = allowance
	if now.Before(gate.pausedUntil) {
		return false, gate.pausedUntil.Sub(now)
	}
	if gate.open >= allowance+len(gate.holdings) {
		return false, 0
	}
	gate.open++
	return true, 0
}

// gate returns what is known of a start of an upstream. The mutex is held.
func (gatekeeper *Gatekeeper) gate(now time.Time, start definer.UpstreamStart) *gate {
	known, ok := gatekeeper.gates[start]
	if ok {
		return known
	}
	if len(gatekeeper.gates) >= sweepThreshold {
		maps.DeleteFunc(gatekeeper.gates, func(_ definer.UpstreamStart, gate *gate) bool {
			return gate.open == 0 && now.Sub(gate.pausedUntil) > longestPause
		})
	}
	added := &gate{}
	gatekeeper.gates[start] = added
	return added
}

// close ends a connection and the use of a permit that is no longer needed.
func (gatekeeper *Gatekeeper) close(pass *Pass) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(time.Now(), pass.start)
	gate.open--
	outcome := issuer.Served
	if pass.reset.Load() {
		outcome = issuer.Rejected
	}
	for len(gate.holdings) > max(gate.open-gate.allowance, 0) {
		last := len(gate.holdings) - 1
		select {
		case gatekeeper.returned <- returnedPermit{gate.holdings[last], outcome}:
		default: // The permit lapses.
		}
		gate.holdings = gate.holdings[:last]
		outcome = issuer.Served
	}
	if gate.open == 0 && gate.resets == 0 {
		delete(gatekeeper.gates, pass.start)
	}
}

// recordReset pauses the opening of connections to an upstream that has reset a new one.
func (gatekeeper *Gatekeeper) recordReset(now time.Time, pass *Pass) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(now, pass.start)
	if now.Before(gate.pausedUntil) {
		return
	}
	pause := timer.Doubled(firstPause, longestPause, gate.resets)
	gate.resets++
	gate.pausedUntil = now.Add(pause)
	gatekeeper.log(logger.EventConnectionReset, "upstream", pass.start.Upstream, "incarnation", pass.start.Incarnation,
		"open", gate.open, "withPermit", len(gate.holdings), "accepted", pass.accepted, "pausedMs", pause.Milliseconds())
}

// recordUsed ends the pauses, since the upstream has answered on a new connection.
func (gatekeeper *Gatekeeper) recordUsed(pass *Pass) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gatekeeper.gate(time.Now(), pass.start).resets = 0
}

// permitted reports whether connections are open with permits.
func (gatekeeper *Gatekeeper) permitted(start definer.UpstreamStart) bool {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	known, ok := gatekeeper.gates[start]
	return ok && len(known.holdings) > 0
}
