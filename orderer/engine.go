package orderer

import (
	"math/rand/v2"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// confirmAfter is when an engine that took an order is read again.
	confirmAfter = time.Second
	// longestConfirm bounds the time between two readings while a model loads.
	longestConfirm = 30 * time.Second
	// loadPatience is how long a model may load before it is ordered again.
	loadPatience = 2 * time.Minute

	firstBackoff   = 2 * time.Second
	longestBackoff = 5 * time.Minute
)

// backoff spaces out what keeps failing.
type backoff struct {
	failures int
	until    time.Time
}

func (backoff *backoff) fail(now time.Time, random *rand.Rand, atLeast time.Duration) {
	wait := min(firstBackoff<<min(backoff.failures, 10), longestBackoff)
	wait += time.Duration(random.Int64N(int64(wait) / 2))
	backoff.failures++
	backoff.until = now.Add(max(wait, min(atLeast, longestBackoff)))
}

func (backoff *backoff) over(now time.Time) bool { return !now.Before(backoff.until) }

// engine is one upstream with a wanted state.
type engine struct {
	upstream *definer.Upstream
	// state is what the engine last said of itself, if known.
	state State
	known bool
	// since is when what is wanted of it last changed.
	since time.Time
	// readDue is when it is to be read next.
	readDue time.Time
	// order is the one under way; nil is none.
	order *Order
	// loading is the model that it is loading, and since when.
	loading     string
	loadingFrom time.Time
	// polls counts the readings since the last order.
	polls   int
	backoff backoff
	// differs says that it was last told not to be as wanted.
	differs bool
}

func newEngine(now time.Time, upstream *definer.Upstream) *engine {
	return &engine{upstream: upstream, since: now}
}

// rewant takes in the upstream as now configured. It returns whether what is
// wanted of it changed.
func (engine *engine) rewant(now time.Time, upstream *definer.Upstream) bool {
	before := engine.upstream
	engine.upstream = upstream
	same := before.Address() == upstream.Address() && before.WantedRole() == upstream.WantedRole() &&
		slices.Equal(before.WantedModels(), upstream.WantedModels())
	if same {
		return false
	}
	engine.forget()
	engine.since = now
	engine.backoff = backoff{}
	return true
}

// forget drops what belongs to one tenure of the lease.
func (engine *engine) forget() {
	engine.known = false
	engine.order = nil
	engine.loading = ""
	engine.polls = 0
	engine.readDue = time.Time{}
}

// missing returns the wanted models that the engine does not hold.
func (engine *engine) missing() []string {
	return without(engine.upstream.WantedModels(), engine.state.Models)
}

// extra returns the models that the engine holds and that are not wanted. None
// are when only its role is.
func (engine *engine) extra() []string {
	if len(engine.upstream.WantedModels()) == 0 {
		return nil
	}
	return without(engine.state.Models, engine.upstream.WantedModels())
}

func (engine *engine) roleDiffers() bool {
	wanted := engine.upstream.WantedRole()
	return wanted != "" && wanted != engine.state.Role
}

// fulfilled tells whether the engine said that it is as wanted.
func (engine *engine) fulfilled() bool {
	return engine.known && !engine.roleDiffers() && len(engine.missing()) == 0 && len(engine.extra()) == 0
}

// step returns the next order that brings the engine nearer to what is wanted;
// none when nothing is to be done now. Models are loaded before others are
// unloaded.
func (engine *engine) step(now time.Time, mayLoad bool) (Order, bool) {
	if !engine.known || !engine.backoff.over(now) {
		return Order{}, false
	}
	if engine.roleDiffers() {
		return Order{Act: SetRole, Role: engine.upstream.WantedRole()}, true
	}
	if missing := engine.missing(); len(missing) > 0 {
		return Order{Act: Load, Model: missing[0]}, mayLoad && engine.loading == ""
	}
	if extra := engine.extra(); len(extra) > 0 && now.Sub(engine.since) >= unloadAfter {
		return Order{Act: Unload, Model: extra[0]}, true
	}
	return Order{}, false
}

// take takes in the engine's account of itself. It returns whether a load ended
// well.
func (engine *engine) take(now time.Time, state State) bool {
	engine.state = state
	engine.known = true
	loaded := engine.loading != "" && slices.Contains(state.Models, engine.loading)
	switch {
	case loaded:
		engine.loading = ""
	case now.Sub(engine.loadingFrom) >= loadPatience:
		engine.loading = ""
	}
	engine.readDue = now.Add(readEvery)
	if engine.loading != "" {
		engine.readDue = now.Add(min(confirmAfter<<min(engine.polls, 6), longestConfirm))
		engine.polls++
	}
	return loaded
}

// without returns the names that are not among the others.
func without(names, others []string) []string {
	var left []string
	for _, name := range names {
		if !slices.Contains(others, name) {
			left = append(left, name)
		}
	}
	return left
}
