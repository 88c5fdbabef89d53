package orderer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// tick is the time between two looks at what is to be ordered.
	tick = 250 * time.Millisecond
	// callsPerTick bounds the orders and readings begun at one tick.
	callsPerTick = 2
	// maxCalls bounds the orders and readings under way.
	maxCalls = 8
	// readEvery is the least time between two readings of an engine that is as
	// wanted. One such reading begins at each tick at most.
	readEvery = 30 * time.Second
	// unloadAfter is how long a model must have been unwanted before it is
	// unloaded, so that no node still sends requests for it.
	unloadAfter = 30 * time.Second
	// DefaultLoads bounds the loads under way in a data centre if nothing is set.
	DefaultLoads = 2
)

// Orderer holds the lease of one data centre in turn with others like it and
// gives orders while it does. It is not safe for concurrent use.
type Orderer struct {
	shell  Shell
	lease  *lease
	timing Timing
	random *rand.Rand
	// engines are those with a wanted state, by name.
	engines []*engine
	// configuration is the version in force; wantedBy is the one that last
	// changed what is wanted.
	configuration uint64
	wantedBy      uint64
	// maxLoads bounds the loads under way.
	maxLoads int
	// loads pauses all loads after one was refused.
	loads backoff
	// standsBy says that this process reads the lease and may take it.
	standsBy bool
	stopping bool
	// holding is what was last told of the lease.
	holding bool
	orders  uint64
	// unanswered is when an order was last left without an answer.
	unanswered time.Time
}

// Option changes one setting of an Orderer.
type Option func(*Orderer)

// WithTiming sets the lease's durations.
func WithTiming(timing Timing) Option {
	return func(orderer *Orderer) { orderer.timing = timing }
}

// WithSeed sets the seed of the pauses' jitter.
func WithSeed(seed uint64) Option {
	return func(orderer *Orderer) { orderer.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns an orderer for a data centre that wants nothing yet.
func New(self definer.Member, dataCentre definer.DataCentre, shell Shell, options ...Option) *Orderer {
	orderer := &Orderer{shell: shell, timing: DefaultTiming(), maxLoads: DefaultLoads}
	WithSeed(uint64(self.Incarnation))(orderer)
	for _, option := range options {
		option(orderer)
	}
	orderer.lease = newLease(self, string(dataCentre), orderer.timing, shell)
	return orderer
}

// SetWanted sets the upstreams of the data centre that have a wanted state, the
// version of the configuration that says so, and the bound on loads; 0 is the
// default.
func (orderer *Orderer) SetWanted(now time.Time, version uint64, upstreams []*definer.Upstream, maxLoads int) {
	orderer.configuration = version
	orderer.maxLoads = cmp.Or(maxLoads, DefaultLoads)
	before := orderer.engines
	orderer.engines = nil
	changed := len(before) != len(upstreams)
	for _, upstream := range upstreams {
		index := slices.IndexFunc(before, func(engine *engine) bool { return engine.upstream.Name() == upstream.Name() })
		if index < 0 {
			orderer.engines = append(orderer.engines, newEngine(now, upstream))
			changed = true
			continue
		}
		changed = before[index].rewant(now, upstream) || changed
		orderer.engines = append(orderer.engines, before[index])
	}
	slices.SortFunc(orderer.engines, func(a, b *engine) int { return cmp.Compare(a.upstream.Name(), b.upstream.Name()) })
	if changed {
		orderer.wantedBy = version
	}
	orderer.advance(now)
}

// SetStandsBy sets whether this process may take the lease.
func (orderer *Orderer) SetStandsBy(now time.Time, standsBy bool) {
	orderer.standsBy = standsBy
	orderer.advance(now)
}

// Stop ends all orders and gives the lease back, unless an order may still
// reach an engine: then the lease runs out.
func (orderer *Orderer) Stop(now time.Time) {
	orderer.stopping = true
	orderer.advance(now)
}

// Answered takes in the platform's answer to the call under way.
func (orderer *Orderer) Answered(now time.Time, answer Answer) {
	orderer.lease.answered(now, answer)
	orderer.advance(now)
}

// Fired tells that the time has come that was asked for.
func (orderer *Orderer) Fired(now time.Time) {
	orderer.advance(now)
	if !orderer.stopping {
		orderer.order(now)
	}
}

// advance carries the lease on and sets the next time to look.
func (orderer *Orderer) advance(now time.Time) {
	orderer.tellLease(now)
	switch {
	case orderer.stopping:
		orderer.handOver(now)
	case len(orderer.engines) > 0:
		if orderer.behind() && orderer.lease.held(now) && orderer.lease.failures == 0 {
			orderer.lease.next = now
		}
		orderer.lease.advance(now, orderer.configuration, orderer.standsBy)
	}
	held := orderer.lease.held(now)
	switch {
	case held && len(orderer.engines) > 0:
		orderer.shell.WakeAt(now.Add(tick))
	case orderer.standsBy && !orderer.stopping && len(orderer.engines) > 0 && orderer.lease.working == "":
		orderer.shell.WakeAt(later(orderer.lease.next, now.Add(time.Millisecond)))
	}
}

// behind tells whether the lease object names an older configuration than the
// one that says what is wanted. Orders wait until it does not, so that no later
// holder goes back behind them.
func (orderer *Orderer) behind() bool {
	return orderer.lease.record.Configuration < orderer.wantedBy
}

func (orderer *Orderer) tellLease(now time.Time) {
	held := orderer.lease.held(now)
	if held == orderer.holding {
		return
	}
	orderer.holding = held
	if held {
		orderer.shell.Tell(LeaseTaken, "fencing", orderer.lease.version)
		return
	}
	orderer.shell.Tell(LeaseLost, "fencing", orderer.lease.version)
	for _, engine := range orderer.engines {
		engine.forget()
	}
}

// handOver gives the lease back once no order can be under way.
func (orderer *Orderer) handOver(now time.Time) {
	recent := !orderer.unanswered.IsZero() && now.Sub(orderer.unanswered) < orderer.timing.Duration
	if orderer.underWay(now) == 0 && !recent {
		orderer.lease.release(now)
	}
}

// underWay returns the number of orders without an answer. One that was not
// answered long after its time is forgotten.
func (orderer *Orderer) underWay(now time.Time) int {
	count := 0
	for _, engine := range orderer.engines {
		if engine.order != nil && now.After(engine.order.SendBy.Add(engine.order.Timeout+orderer.timing.Margin)) {
			orderer.settle(now, engine, OrderAnswer{Number: engine.order.Number, Outcome: Unanswered})
		}
		if engine.order != nil {
			count++
		}
	}
	return count
}
