package steward_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/scaler"
	"limpetcleat/steward"
)

const (
	// pool is the service whose engines are ordered, bootTime how long one takes to start.
	pool     = definer.PoolName("pool")
	bootTime = 4 * time.Second
	// mostEngines bounds those of a data centre, firstEngines stand there at first.
	mostEngines  = 56
	firstEngines = 28
	spotPrice    = 0.18
)

// places are the data centres.
func places() []definer.DataCentre { return []definer.DataCentre{"a", "b", "c", "d"} }

// engine is one that was ordered.
type engine struct {
	dataCentre definer.DataCentre
	spot       bool
	servesAt   time.Time
}

// engines are those of the platform, which starts and ends them as it is ordered to.
type engines struct {
	table *router.Table

	// mutex guards the rest; no other lock is taken under it.
	mutex   sync.Mutex
	list    map[int]engine
	next    int
	wanted  map[definer.DataCentre]scaler.Counts
	busy    float64
	dryTill time.Time
	// orders counts those that changed what was wanted, least is the fewest that served.
	orders int
	// paid is the price of all so far, in ordinary engines and seconds.
	paid float64
	at   time.Time
}

func newEngines(t *testing.T) *engines {
	t.Helper()
	prices := make(map[definer.DataCentre]float64)
	for _, place := range places() {
		prices[place] = 1
	}
	table, err := router.New(router.Definition{Version: 1, Services: []router.Service{{
		Name: pool, Engine: true,
		Scaling: &router.Scaling{Least: 1, Most: mostEngines, Boot: bootTime, SpotPrice: spotPrice, Prices: prices},
	}}})
	assert.NilError(t, err)
	engines := &engines{table: table, list: make(map[int]engine), wanted: make(map[definer.DataCentre]scaler.Counts), at: time.Now()}
	for _, place := range places() {
		engines.wanted[place] = scaler.Counts{Ordinary: firstEngines}
		for range firstEngines {
			engines.next++
			engines.list[engines.next] = engine{dataCentre: place}
		}
	}
	return engines
}

// Table returns the configuration.
func (engines *engines) Table() *router.Table { return engines.table }

// Known tells that the list was read.
func (engines *engines) Known() bool { return true }

// Busy returns how many engines the work takes.
func (engines *engines) Busy(time.Time, definer.PoolName) float64 {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return engines.busy
}

// Of returns the engines that take work.
func (engines *engines) Of(definer.PoolName) []*registrar.Upstream {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	var list []*registrar.Upstream
	for number, engine := range engines.list {
		if !time.Now().Before(engine.servesAt) {
			list = append(list, &registrar.Upstream{ID: definer.UpstreamName(fmt.Sprint(number)), Service: pool, DataCentre: engine.dataCentre, Spot: engine.spot})
		}
	}
	return list
}

// order carries an order out and tells whether there were engines to be had.
func (engines *engines) order(order *steward.Order) bool {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.pay()
	has := 0
	for _, engine := range engines.list {
		if engine.dataCentre == order.DataCentre && engine.spot == order.Spot {
			has++
		}
	}
	if order.Spot && order.Count > has && time.Now().Before(engines.dryTill) {
		return false
	}
	wanted := engines.wanted[order.DataCentre]
	before := wanted
	if order.Spot {
		wanted.Spot = order.Count
	} else {
		wanted.Ordinary = order.Count
	}
	if wanted != before {
		engines.orders++
	}
	engines.wanted[order.DataCentre] = wanted
	for ; has < order.Count; has++ {
		engines.next++
		engines.list[engines.next] = engine{dataCentre: order.DataCentre, spot: order.Spot, servesAt: time.Now().Add(bootTime)}
	}
	for number, engine := range engines.list {
		if has > order.Count && engine.dataCentre == order.DataCentre && engine.spot == order.Spot {
			delete(engines.list, number)
			has--
		}
	}
	return true
}

// reclaim takes all engines that may be of a data centre; none are to be had for a time.
func (engines *engines) reclaim(place definer.DataCentre, dry time.Duration) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.pay()
	for number, engine := range engines.list {
		if engine.spot && engine.dataCentre == place {
			delete(engines.list, number)
		}
	}
	engines.dryTill = time.Now().Add(dry)
}

// pay adds what the engines cost since; mutex is held.
func (engines *engines) pay() {
	for _, engine := range engines.list {
		price := 1.0
		if engine.spot {
			price = spotPrice
		}
		engines.paid += price * time.Since(engines.at).Seconds()
	}
	engines.at = time.Now()
}

// spent returns what the engines cost so far.
func (engines *engines) spent() float64 {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.pay()
	return engines.paid
}

// listOver has the engines that stand list themselves over a time, one after the other.
func (engines *engines) listOver(span time.Duration) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for number, engine := range engines.list {
		engine.servesAt = time.Now().Add(span * time.Duration(number) / time.Duration(len(engines.list)))
		engines.list[number] = engine
	}
}

// load sets how many engines the work takes.
func (engines *engines) load(busy float64) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.busy = busy
}

// count returns how many engines of each kind take work.
func (engines *engines) count() scaler.Counts {
	var sum scaler.Counts
	for _, engine := range engines.Of(pool) {
		if engine.Spot {
			sum.Spot++
		} else {
			sum.Ordinary++
		}
	}
	return sum
}

// TestCheaperEnginesTakeOver holds that engines which may be reclaimed take the place of
// the others, more of them for less than what stood, that enough stand at any moment, and
// that nothing is ordered again and again.
func TestCheaperEnginesTakeOver(t *testing.T) {
	inFleets(t, []int{2, 8, 81}, func(t *testing.T, world *world) {
		for second := range 40 {
			if second == 12 {
				world.engines.load(56)
			}
			world.serve(time.Second, 20)
			standing := world.engines.count()
			assert.Assert(t, standing.Sum() >= 4*firstEngines, "%d stand after %d s", standing.Sum(), second)
		}
		standing := world.engines.count()
		assert.Assert(t, standing.Sum() > 4*firstEngines*3/2 && standing.Ordinary < 4*firstEngines/5, "%+v", standing)
		orders := world.engines.orders
		assert.Assert(t, orders <= 16, "%d orders", orders)
		paid := world.engines.spent()
		world.serve(60*time.Second, 20)
		assert.Equal(t, world.engines.orders, orders)
		rate := (world.engines.spent() - paid) / 60
		assert.Assert(t, rate < 4*firstEngines/2, "%.1f a second", rate)
	})
}

// TestFirstPlanWaitsForAllEngines has engines list themselves over seconds, as they do when
// a whole deployment starts: none that stands is given up before others take its place, and
// the first plan is made from all.
func TestFirstPlanWaitsForAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1, 8)
		world.engines.listOver(4 * time.Second)
		for _, node := range world.nodes {
			node.start()
		}
		defer world.stopAll()
		world.serve(4*time.Second, 20)
		for range 30 {
			world.serve(500*time.Millisecond, 20)
			assert.Assert(t, world.engines.count().Sum() >= 4*firstEngines, "%+v", world.engines.count())
		}
		assert.Assert(t, world.engines.count().Sum() >= 3*4*firstEngines/2, "%+v", world.engines.count())
	})
}

// TestReclaimedEnginesAreReplaced takes all of a data centre's engines that may be: the
// others carry the work, and they are ordered again once there are some.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	inFleets(t, []int{8}, func(t *testing.T, world *world) {
		world.engines.load(56)
		world.serve(30*time.Second, 20)
		before := world.engines.count()
		world.engines.reclaim("b", 8*time.Second)
		for range 18 {
			world.serve(time.Second, 20)
			assert.Assert(t, world.engines.count().Sum() >= 4*firstEngines, "%+v", world.engines.count())
		}
		assert.Equal(t, world.engines.count(), before)
	})
}

// TestReclaimInABurst takes one data centre's engines while a burst is more than all can
// carry and no others of the kind are to be had: those of the other data centres stay, and
// ordinary ones come where the room is.
func TestReclaimInABurst(t *testing.T) {
	inFleets(t, []int{8}, func(t *testing.T, world *world) {
		world.engines.load(56)
		world.serve(30*time.Second, 20)
		before := world.engines.count()
		world.engines.load(250)
		world.engines.reclaim("b", 12*time.Second)
		others := world.engines.count()
		most := 0
		for range 12 {
			world.serve(time.Second, 20)
			standing := world.engines.count()
			assert.Assert(t, standing.Spot >= others.Spot, "%+v, %+v before", standing, others)
			most = max(most, standing.Ordinary)
		}
		assert.Assert(t, most > before.Ordinary+20, "%d ordinary engines", most)
		world.engines.load(56)
		world.serve(6*time.Minute, 2) // The burst is forgotten.
		assert.Equal(t, world.engines.count(), before)
	})
}

// TestAllReclaimed takes all engines that may be while none are to be had: others are
// ordered in their place until there are some again.
func TestAllReclaimed(t *testing.T) {
	inFleets(t, []int{8}, func(t *testing.T, world *world) {
		world.engines.load(56)
		world.serve(30*time.Second, 20)
		before := world.engines.count()
		for _, place := range places() {
			world.engines.reclaim(place, 15*time.Second)
		}
		world.serve(14*time.Second, 20)
		assert.Assert(t, world.engines.count().Sum() > 56, "%+v", world.engines.count())
		world.serve(60*time.Second, 20)
		assert.Equal(t, world.engines.count(), before)
	})
}

// TestHolderOfOrdersEnds ends the node that orders engines: the next goes on from what was
// ordered and changes nothing.
func TestHolderOfOrdersEnds(t *testing.T) {
	inFleets(t, []int{8, 81}, func(t *testing.T, world *world) {
		world.engines.load(40)
		world.serve(30*time.Second, 20)
		orders, standing := world.engines.orders, world.engines.count()
		world.nodes[0].kill()
		world.serve(20*time.Second, 20)
		world.nodes[0].start()
		world.serve(10*time.Second, 20)
		assert.Equal(t, world.engines.orders, orders)
		assert.Equal(t, world.engines.count(), standing)
	})
}

// TestPartialViewGivesNothingUp cuts the nodes in two: neither side orders fewer engines.
func TestPartialViewGivesNothingUp(t *testing.T) {
	inFleets(t, []int{8, 20}, func(t *testing.T, world *world) {
		world.engines.load(56)
		world.serve(30*time.Second, 20)
		standing := world.engines.count()
		half := len(world.nodes) / 2
		world.sever(func(from, to *node) bool { return (from.place < half) != (to.place < half) })
		world.engines.load(5)
		world.serve(5*time.Minute, 5)
		assert.Assert(t, world.engines.count().Sum() >= standing.Sum())
	})
}
