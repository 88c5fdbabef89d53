// Package gatekeeper bounds the connections of this node to upstreams, each of which accepts a number of
// connections from all nodes together. A node opens a few without asking; for each further one it needs a
// permit, which it returns once it has that many fewer connections.
package gatekeeper

import (
	"context"
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
	// returnQueue is the number of permits that may wait to be returned.
	returnQueue = 1024
	// reviewInterval is the time between two adaptations to the allowance, which changes with the number of
	// nodes.
	reviewInterval = time.Second
)

// Permits grants the permits of connections.
type Permits interface {
	// Acquire asks for a permit.
	Acquire(ctx context.Context, need throttler.PermitRequest) throttler.Permit
	// Adopt records that a connection without a permit counts towards those with one; the result must be
	// returned.
	Adopt(need throttler.PermitRequest) *throttler.Holding
	// Return ends the use of a permit.
	Return(holding *throttler.Holding, outcome issuer.Outcome)
	// Allowance returns how many connections may be open without a permit to an upstream that accepts the
	// given number from all nodes together.
	Allowance(accepted int) int
}

// Gatekeeper counts the connections to upstreams and holds the permits for them. It is safe for concurrent
// use.
//
// A Gatekeeper owns the worker that returns and adopts permits; Done is closed once it has ended.
type Gatekeeper struct {
	permits Permits
	log     func(number int, pairs ...any)
	count   func(counts Counts)
	// returned are the permits to return, so that closing a connection waits for no lock of another part.
	returned chan returnedPermit
	done     chan struct{}

	// mutex guards gates; no other lock is acquired while it is held.
	mutex sync.Mutex
	gates map[definer.UpstreamStart]*gate
}

// gate is what is known of the connections to one start of an upstream.
type gate struct {
	// need is the last request for a connection.
	need throttler.PermitRequest
	// open is the number of open connections, those that are being opened included, and allowance how many
	// may be open without a permit.
	open      int
	allowance int
	// holdings are the permits in use: as many as connections are open beyond the allowance. There are fewer
	// for up to reviewInterval after the allowance has become smaller.
	holdings []*throttler.Holding
	// deniedUntil is the time before which no permit is expected for requests of deniedTier and lower ones.
	deniedUntil time.Time
	deniedTier  int
	// resets counts the consecutive resets of new connections, and pausedUntil is until when none is opened
	// because of them.
	resets      int
	pausedUntil time.Time
}

// returnedPermit is a permit that is no longer needed.
type returnedPermit struct {
	// holding is nil if a connection was reset that had no permit, and need describes that connection.
	holding *throttler.Holding
	need    throttler.PermitRequest
	outcome issuer.Outcome
}

// Option changes one setting of a Gatekeeper.
type Option func(*Gatekeeper)

// WithLog sets the function that receives numbered events; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(gatekeeper *Gatekeeper) { gatekeeper.log = log }
}

// Counts are the connections to all upstreams whose number is limited.
type Counts struct {
	// Open is the number of open connections, Permitted that of the permits in use for them, and Paused that of the
	// upstreams to which none is opened since they have reset one.
	Open      int
	Permitted int
	Paused    int
}

// WithCounts sets the function that is called with the counts when they have changed, once a second at most. The
// default does nothing.
func WithCounts(count func(counts Counts)) Option {
	return func(gatekeeper *Gatekeeper) { gatekeeper.count = count }
}

// New returns a Gatekeeper without connections.
func New(permits Permits, options ...Option) *Gatekeeper {
	gatekeeper := &Gatekeeper{
		permits:  permits,
		log:      func(int, ...any) {},
		count:    func(Counts) {},
		returned: make(chan returnedPermit, returnQueue),
		done:     make(chan struct{}),
		gates:    make(map[definer.UpstreamStart]*gate),
	}
	for _, option := range options {
		option(gatekeeper)
	}
	return gatekeeper
}

// Start returns permits that are no longer needed, and adapts to the allowance, until the context ends.
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
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	var counted Counts
	for {
		select {
		case <-ctx.Done():
			return
		case returned := <-gatekeeper.returned:
			if returned.holding == nil {
				returned.holding = gatekeeper.permits.Adopt(returned.need) // The issuer has to learn of the reset.
			}
			gatekeeper.permits.Return(returned.holding, returned.outcome)
		case now := <-ticker.C:
			gatekeeper.review(now)
			if counts := gatekeeper.counts(now); counts != counted {
				counted = counts
				gatekeeper.count(counts)
			}
		}
	}
}

// review adapts all gates to the present allowance, and removes those that are not in use.
func (gatekeeper *Gatekeeper) review(now time.Time) {
	allowances := make(map[int]int)
	for start, need := range gatekeeper.needs() {
		allowance, known := allowances[need.Connections]
		if !known {
			allowance = gatekeeper.permits.Allowance(need.Connections)
			allowances[need.Connections] = allowance
		}
		for range gatekeeper.adapt(now, start, allowance) {
			gatekeeper.hold(start, gatekeeper.permits.Adopt(need))
		}
	}
}

// counts returns the present counts.
func (gatekeeper *Gatekeeper) counts(now time.Time) Counts {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	var counts Counts
	for _, gate := range gatekeeper.gates {
		counts.Open += gate.open
		counts.Permitted += len(gate.holdings)
		if now.Before(gate.pausedUntil) {
			counts.Paused++
		}
	}
	return counts
}

// needs returns the last request for a connection at each gate.
func (gatekeeper *Gatekeeper) needs() map[definer.UpstreamStart]throttler.PermitRequest {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	needs := make(map[definer.UpstreamStart]throttler.PermitRequest, len(gatekeeper.gates))
	for start, gate := range gatekeeper.gates {
		needs[start] = gate.need
	}
	return needs
}

// adapt sets the allowance of a gate, and returns how many of its connections lack a permit. A gate that is
// not in use is removed.
func (gatekeeper *Gatekeeper) adapt(now time.Time, start definer.UpstreamStart, allowance int) int {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate, known := gatekeeper.gates[start]
	if !known {
		return 0
	}
	if gate.open == 0 && len(gate.holdings) == 0 && now.Sub(gate.pausedUntil) > longestPause && now.After(gate.deniedUntil) {
		delete(gatekeeper.gates, start)
		return 0
	}
	gate.allowance = allowance
	gatekeeper.trim(gate, issuer.Served)
	return max(gate.open-allowance-len(gate.holdings), 0)
}

// hold adds a permit in use, unless it is no longer needed.
func (gatekeeper *Gatekeeper) hold(start definer.UpstreamStart, holding *throttler.Holding) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate, known := gatekeeper.gates[start]
	if holding == nil || !known {
		return
	}
	gate.holdings = append(gate.holdings, holding)
	gatekeeper.trim(gate, issuer.Unused)
}

// trim returns the permits that are no longer needed, the first of them with the outcome. Those for which
// there is no room in the queue are kept until the next review. The mutex is held.
func (gatekeeper *Gatekeeper) trim(gate *gate, outcome issuer.Outcome) {
	for len(gate.holdings) > max(gate.open-gate.allowance, 0) {
		last := len(gate.holdings) - 1
		if !gatekeeper.queueReturn(returnedPermit{holding: gate.holdings[last], outcome: outcome}) {
			return
		}
		gate.holdings = gate.holdings[:last]
		outcome = issuer.Served
	}
}

// queueReturn has a permit returned. It reports false if too many wait for that.
func (gatekeeper *Gatekeeper) queueReturn(returned returnedPermit) bool {
	select {
	case gatekeeper.returned <- returned:
		return true
	default:
		return false
	}
}

// Open asks for leave to open a connection; need describes it. Without patience it is denied at once until
// a permit is expected. The error is a *Denial. The Pass must be closed with the connection.
func (gatekeeper *Gatekeeper) Open(ctx context.Context, need throttler.PermitRequest) (*Pass, error) {
	allowance := gatekeeper.permits.Allowance(need.Connections)
	pass := &Pass{gatekeeper: gatekeeper, start: need.Start, accepted: need.Connections}
	admitted, denial := gatekeeper.admit(time.Now(), need, allowance)
	switch {
	case denial != nil:
		return nil, denial
	case admitted:
		return pass, nil
	}
	permit := gatekeeper.permits.Acquire(ctx, need)
	if denial := gatekeeper.enter(time.Now(), need, allowance, permit); denial != nil {
		return nil, denial
	}
	return pass, nil
}

// admit counts another connection if it needs no further permit, or denies it if none may be opened now.
func (gatekeeper *Gatekeeper) admit(now time.Time, need throttler.PermitRequest, allowance int) (admitted bool, denial *Denial) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(need, allowance)
	switch {
	case now.Before(gate.pausedUntil):
		return false, &Denial{RetryAfter: gate.pausedUntil.Sub(now)}
	case gate.open < allowance+len(gate.holdings):
		gate.open++
		return true, nil
	case need.Patience == 0 && need.Tier >= gate.deniedTier && now.Before(gate.deniedUntil):
		return false, &Denial{RetryAfter: gate.deniedUntil.Sub(now)}
	}
	return false, nil
}

// enter counts a connection that was granted a permit, or denies it.
func (gatekeeper *Gatekeeper) enter(now time.Time, need throttler.PermitRequest, allowance int, permit throttler.Permit) *Denial {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gate(need, allowance)
	if !permit.Granted {
		gate.deniedUntil, gate.deniedTier = now.Add(permit.RetryAfter), need.Tier
		return &Denial{RetryAfter: permit.RetryAfter, Asked: true}
	}
	if permit.Holding != nil {
		gate.holdings = append(gate.holdings, permit.Holding)
	}
	if paused := gate.pausedUntil.Sub(now); paused > 0 {
		gatekeeper.trim(gate, issuer.Unused)
		return &Denial{RetryAfter: paused, Asked: true}
	}
	gate.open++
	gatekeeper.trim(gate, issuer.Unused)
	return nil
}

// gate returns what is known of the upstream of a request, nothing at first. The mutex is held.
func (gatekeeper *Gatekeeper) gate(need throttler.PermitRequest, allowance int) *gate {
	known, ok := gatekeeper.gates[need.Start]
	if !ok {
		known = &gate{}
		gatekeeper.gates[need.Start] = known
	}
	known.need, known.allowance = need, allowance
	return known
}

// close ends a connection and the use of a permit that is no longer needed.
func (gatekeeper *Gatekeeper) close(pass *Pass) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate := gatekeeper.gates[pass.start] // It is kept while a connection is open.
	gate.open--
	if !pass.reset.Load() {
		gatekeeper.trim(gate, issuer.Served)
		return
	}
	if len(gate.holdings) <= max(gate.open-gate.allowance, 0) {
		_ = gatekeeper.queueReturn(returnedPermit{need: gate.need, outcome: issuer.Rejected}) // A reset among many.
	}
	gatekeeper.trim(gate, issuer.Rejected)
}

// recordReset pauses the opening of connections to an upstream that has reset a new one.
func (gatekeeper *Gatekeeper) recordReset(now time.Time, pass *Pass) {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	gate, known := gatekeeper.gates[pass.start]
	if !known || now.Before(gate.pausedUntil) {
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
	if known, ok := gatekeeper.gates[pass.start]; ok {
		known.resets = 0
	}
}

// permitted reports whether connections are open with permits.
func (gatekeeper *Gatekeeper) permitted(start definer.UpstreamStart) bool {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	known, ok := gatekeeper.gates[start]
	return ok && len(known.holdings) > 0
}
