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
	// pool is the service whose engines are ordered, bootTime how long an engine takes to start.
	pool     = definer.PoolName("pool")
	bootTime = 4 * time.Second
	// maxEngines bounds the engines of a data centre, initialEngines is their number at first.
	maxEngines     = 56
	initialEngines = 28
	spotPrice      = 0.18
)

// dataCentres returns the data centres of the simulation.
func dataCentres() []definer.DataCentre { return []definer.DataCentre{"a", "b", "c", "d"} }

// engine is one ordered engine.
type engine struct {
	dataCentre definer.DataCentre
	spot       bool
	servesAt   time.Time
}

// engines simulates the engines of the platform, which starts and ends them as ordered.
type engines struct {
	table *router.Table

	// mutex guards the rest; no other lock is taken under it.
	mutex            sync.Mutex
	list             map[int]engine
	next             int
	wanted           map[definer.DataCentre]scaler.Counts
	busy             float64
	unavailableUntil time.Time
	// orders counts the orders that changed the wanted counts.
	orders int
	// accruedCost is the cost of all engines so far, in ordinary engines times seconds.
	accruedCost float64
	at          time.Time
}

func newEngines(t *testing.T) *engines {
	t.Helper()
	prices := make(map[definer.DataCentre]float64)
	for _, place := range dataCentres() {
		prices[place] = 1
	}
	table, err := router.New(router.Definition{Version: 1, Services: []router.Service{{
		Name: pool, Engine: true,
		Scaling: &router.Scaling{Least: 1, Most: maxEngines, Boot: bootTime, SpotPrice: spotPrice, Prices: prices},
	}}})
	assert.NilError(t, err)
	engines := &engines{table: table, list: make(map[int]engine), wanted: make(map[definer.DataCentre]scaler.Counts), at: time.Now()}
	for _, place := range dataCentres() {
		engines.wanted[place] = scaler.Counts{Ordinary: initialEngines}
		for range initialEngines {
			engines.next++
			engines.list[engines.next] = engine{dataCentre: place}
		}
	}
	return engines
}

// Table returns the configuration.
func (engines *engines) Table() *router.Table { return engines.table }

// Loaded reports that the list of engines has been read.
func (engines *engines) Loaded() bool { return true }

// BusyEngines returns how many engines the load occupies.
func (engines *engines) BusyEngines(time.Time, definer.PoolName) float64 {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return engines.busy
}

// Upstreams returns the engines that accept work.
func (engines *engines) Upstreams(definer.PoolName) []*registrar.Upstream {
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

// order carries out an order and reports whether the engines were available.
func (engines *engines) order(order *steward.Order) bool {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.accrueCost()
	has := 0
	for _, engine := range engines.list {
		if engine.dataCentre == order.DataCentre && engine.spot == order.Spot {
			has++
		}
	}
	if order.Spot && order.Count > has && time.Now().Before(engines.unavailableUntil) {
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

// reclaim ends all spot engines of a data centre and makes new ones unavailable for a time.
func (engines *engines) reclaim(place definer.DataCentre, dry time.Duration) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.accrueCost()
	for number, engine := range engines.list {
		if engine.spot && engine.dataCentre == place {
			delete(engines.list, number)
		}
	}
	engines.unavailableUntil = time.Now().Add(dry)
}

// accrueCost adds the cost of the engines since the last call. The caller holds mutex.
func (engines *engines) accrueCost() {
	for _, engine := range engines.list {
		price := 1.0
		if engine.spot {
			price = spotPrice
		}
		engines.accruedCost += price * time.Since(engines.at).Seconds()
	}
	engines.at = time.Now()
}

// cost returns the cost of the engines so far.
func (engines *engines) cost() float64 {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.accrueCost()
	return engines.accruedCost
}

// staggerListing has the existing engines register one after the other over a span of time.
func (engines *engines) staggerListing(span time.Duration) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for number, engine := range engines.list {
		engine.servesAt = time.Now().Add(span * time.Duration(number) / time.Duration(len(engines.list)))
		engines.list[number] = engine
	}
}

// setBusy sets how many engines the load occupies.
func (engines *engines) setBusy(busy float64) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.busy = busy
}

// count returns how many engines of each kind accept work.
func (engines *engines) count() scaler.Counts {
	var sum scaler.Counts
	for _, engine := range engines.Upstreams(pool) {
		if engine.Spot {
			sum.Spot++
		} else {
			sum.Ordinary++
		}
	}
	return sum
}

// TestCheaperEnginesTakeOver checks that spot engines replace ordinary ones, in a larger
// number and at a lower cost than the initial engines, that enough engines accept work at any
// moment, and that the orders settle instead of being repeated.
func TestCheaperEnginesTakeOver(t *testing.T) {
	runWithSizes(t, []int{2, 8, 81}, func(t *testing.T, simulation *simulation) {
		for second := range 40 {
			if second == 12 {
				simulation.engines.setBusy(56)
			}
			simulation.runTraffic(time.Second, 20)
			standing := simulation.engines.count()
			assert.Assert(t, standing.Total() >= 4*initialEngines, "%d engines accept work after %d s", standing.Total(), second)
		}
		standing := simulation.engines.count()
		assert.Assert(t, standing.Total() > 4*initialEngines*3/2 && standing.Ordinary < 4*initialEngines/5, "%+v", standing)
		orders := simulation.engines.orders
		assert.Assert(t, orders <= 16, "%d orders", orders)
		paid := simulation.engines.cost()
		simulation.runTraffic(60*time.Second, 20)
		assert.Equal(t, simulation.engines.orders, orders)
		rate := (simulation.engines.cost() - paid) / 60
		assert.Assert(t, rate < 4*initialEngines/2, "cost of %.1f per second", rate)
	})
}

// TestFirstPlanWaitsForAllEngines has engines register over several seconds, as they do when a
// whole deployment starts. It guards against a first plan made from a part of them: no engine is
// given up before others replace it, and the plan covers all engines.
func TestFirstPlanWaitsForAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1, 8)
		simulation.engines.staggerListing(4 * time.Second)
		for _, node := range simulation.nodes {
			node.start()
		}
		defer simulation.stopAll()
		simulation.runTraffic(4*time.Second, 20)
		for range 30 {
			simulation.runTraffic(500*time.Millisecond, 20)
			assert.Assert(t, simulation.engines.count().Total() >= 4*initialEngines, "%+v", simulation.engines.count())
		}
		assert.Assert(t, simulation.engines.count().Total() >= 3*4*initialEngines/2, "%+v", simulation.engines.count())
	})
}

// TestReclaimedEnginesAreReplaced reclaims all spot engines of a data centre: the remaining
// engines carry the load, and spot engines are ordered again once they are available.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	runWithSizes(t, []int{8}, func(t *testing.T, simulation *simulation) {
		simulation.engines.setBusy(56)
		simulation.runTraffic(30*time.Second, 20)
		before := simulation.engines.count()
		simulation.engines.reclaim("b", 8*time.Second)
		for range 18 {
			simulation.runTraffic(time.Second, 20)
			assert.Assert(t, simulation.engines.count().Total() >= 4*initialEngines, "%+v", simulation.engines.count())
		}
		assert.Equal(t, simulation.engines.count(), before)
	})
}

// TestReclaimInABurst reclaims the spot engines of one data centre during a burst that exceeds
// the capacity of all engines, while no new spot engines are available: the other data centres
// keep theirs, and ordinary engines are ordered where there is room.
func TestReclaimInABurst(t *testing.T) {
	runWithSizes(t, []int{8}, func(t *testing.T, simulation *simulation) {
		simulation.engines.setBusy(56)
		simulation.runTraffic(30*time.Second, 20)
		before := simulation.engines.count()
		simulation.engines.setBusy(250)
		simulation.engines.reclaim("b", 12*time.Second)
		others := simulation.engines.count()
		most := 0
		for range 12 {
			simulation.runTraffic(time.Second, 20)
			standing := simulation.engines.count()
			assert.Assert(t, standing.Spot >= others.Spot, "%+v engines now, %+v before", standing, others)
			most = max(most, standing.Ordinary)
		}
		assert.Assert(t, most > before.Ordinary+20, "%d ordinary engines", most)
		simulation.engines.setBusy(56)
		simulation.runTraffic(6*time.Minute, 2) // The burst is forgotten.
		assert.Equal(t, simulation.engines.count(), before)
	})
}

// TestAllReclaimed reclaims all spot engines while no new ones are available: ordinary engines
// replace them until spot engines are available again.
func TestAllReclaimed(t *testing.T) {
	runWithSizes(t, []int{8}, func(t *testing.T, simulation *simulation) {
		simulation.engines.setBusy(56)
		simulation.runTraffic(30*time.Second, 20)
		before := simulation.engines.count()
		for _, place := range dataCentres() {
			simulation.engines.reclaim(place, 15*time.Second)
		}
		simulation.runTraffic(14*time.Second, 20)
		assert.Assert(t, simulation.engines.count().Total() > 56, "%+v", simulation.engines.count())
		simulation.runTraffic(60*time.Second, 20)
		assert.Equal(t, simulation.engines.count(), before)
	})
}

// TestHolderOfOrdersEnds kills the node that orders engines: the next holder continues with the
// recorded plans and changes no order.
func TestHolderOfOrdersEnds(t *testing.T) {
	runWithSizes(t, []int{8, 81}, func(t *testing.T, simulation *simulation) {
		simulation.engines.setBusy(40)
		simulation.runTraffic(30*time.Second, 20)
		orders, standing := simulation.engines.orders, simulation.engines.count()
		simulation.nodes[0].kill()
		simulation.runTraffic(20*time.Second, 20)
		simulation.nodes[0].start()
		simulation.runTraffic(10*time.Second, 20)
		assert.Equal(t, simulation.engines.orders, orders)
		assert.Equal(t, simulation.engines.count(), standing)
	})
}

// TestPartialViewGivesNothingUp partitions the nodes into two halves: neither half orders fewer
// engines, as the load on the other half is unknown to it.
func TestPartialViewGivesNothingUp(t *testing.T) {
	runWithSizes(t, []int{8, 20}, func(t *testing.T, simulation *simulation) {
		simulation.engines.setBusy(56)
		simulation.runTraffic(30*time.Second, 20)
		standing := simulation.engines.count()
		half := len(simulation.nodes) / 2
		simulation.partition(func(from, to *node) bool { return (from.index < half) != (to.index < half) })
		simulation.engines.setBusy(5)
		simulation.runTraffic(5*time.Minute, 5)
		assert.Assert(t, simulation.engines.count().Total() >= standing.Total())
	})
}
