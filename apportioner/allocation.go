package apportioner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

const (
	// maxExceeded bounds the organisations of a service that are logged in one shortage.
	maxExceeded = 256
	// serviceLifetime is how long a service is kept after its capacity was last set.
	serviceLifetime = time.Minute
)

// service is the state of one service whose capacity is known.
type service struct {
	// engines is the number of engines that can be sent requests, as of capacityAt.
	engines    float64
	capacityAt time.Time
	// short is set while capacity is short. exceeded holds the organisations that were logged
	// since then.
	short    bool
	exceeded map[exceeding]bool
	// utilisation is the work that arrives, as a fraction of what the engines do in the same
	// time, and levels the share of an organisation by tier, in seconds per unit of weight; both
	// are as of computedAt.
	utilisation float64
	levels      map[int]float64
	computedAt  time.Time
}

// exceeding is an organisation that exceeds its share in a tier.
type exceeding struct {
	tier         int
	organisation definer.OrganisationName
}

// share returns the share of an organisation in seconds.
func (service *service) share(tier int, weight float64) float64 {
	if level, ok := service.levels[tier]; ok {
		return weight * level
	}
	return math.Inf(1) // The first request of its tier comes after the allocation was computed.
}

// demandOf is the work that one organisation asks for, in seconds.
type demandOf struct {
	work   float64
	weight float64
}

// refresh computes the allocation of a service again if it is older than refreshInterval, and
// updates whether capacity is short. The mutex is held.
func (apportioner *Apportioner) refresh(now time.Time, name definer.PoolName, known *service) {
	if age := now.Sub(known.computedAt); !known.computedAt.IsZero() && age < refreshInterval && age > -refreshInterval {
		return
	}
	known.computedAt = now
	apportioner.peers.expire(now)
	demands := make(map[int][]demandOf)
	total := 0.0
	for tier := range apportioner.tiers(name) {
		claimed, work := apportioner.demands(now, tableKey{name, tier})
		demands[tier] = claimed
		total += work
	}
	capacity := known.engines * timeConstant.Seconds()
	known.levels = allocate(demands, allocatedShare*capacity)
	apportioner.updateShort(name, known, total, capacity)
}

// updateShort updates whether the capacity of a service is short. The mutex is held.
func (apportioner *Apportioner) updateShort(name definer.PoolName, known *service, total, capacity float64) {
	threshold := shortAbove
	if known.short {
		threshold = enoughBelow
	}
	known.utilisation = 0
	if total > 0 {
		known.utilisation = total / max(capacity, minWork)
	}
	short := known.utilisation > threshold
	if short == known.short {
		return
	}
	known.short, known.exceeded = short, make(map[exceeding]bool)
	apportioner.log(logger.EventRoomShort, "service", name, "short", short, "utilisation", known.utilisation, "engines", known.engines,
		"nodes", apportioner.nodes, "reported", 1+apportioner.peers.nodes)
	count := 0
	for _, service := range apportioner.services {
		if service.short {
			count++
		}
	}
	apportioner.countShort(count)
}

// tiers returns the tiers of a service's requests. The mutex is held.
func (apportioner *Apportioner) tiers(name definer.PoolName) map[int]bool {
	tiers := make(map[int]bool)
	for key := range apportioner.own {
		if key.service == name {
			tiers[key.tier] = true
		}
	}
	for key := range apportioner.peers.sums {
		if key.service == name {
			tiers[key.tier] = true
		}
	}
	return tiers
}

// sums returns the work of all nodes by organisation, in seconds. The mutex is held.
func (apportioner *Apportioner) sums(now time.Time, key tableKey) map[definer.OrganisationName]float64 {
	scale := apportioner.scale()
	sums := make(map[definer.OrganisationName]float64, len(apportioner.peers.sums[key]))
	for organisation, sum := range apportioner.peers.sums[key] {
		sums[organisation] = scale * sum.work.Seconds()
	}
	if own, ok := apportioner.own[key]; ok {
		for _, work := range own.works(now, key, true) {
			sums[work.Organisation] += scale * work.Work.Seconds()
		}
	}
	return sums
}

// demands returns what the organisations of a service and tier ask for, and the sum. The work of
// the organisations that are not listed counts as that of as many organisations as there are at
// least, given that each is lighter than the lightest listed one. The mutex is held.
func (apportioner *Apportioner) demands(now time.Time, key tableKey) (demands []demandOf, total float64) {
	lightest, rest := math.Inf(1), 0.0
	for organisation, work := range apportioner.sums(now, key) {
		total += work
		if organisation == "" {
			rest = work
			continue
		}
		lightest = min(lightest, work)
		demands = append(demands, demandOf{work: work, weight: apportioner.weightOf(organisation)})
	}
	if rest > 0 {
		demands = append(demands, demandOf{work: rest, weight: max(rest/max(lightest, minWork), 1)})
	}
	return demands, total
}

// allocate divides the capacity among the demands, tier by tier, and returns the level of each
// tier.
func allocate(demands map[int][]demandOf, capacity float64) map[int]float64 {
	levels := make(map[int]float64, len(demands))
	var tiers []int
	for tier := range demands {
		tiers = append(tiers, tier)
	}
	slices.Sort(tiers)
	for _, tier := range tiers {
		levels[tier] = level(demands[tier], capacity)
		for _, demand := range demands[tier] {
			capacity -= min(demand.work, demand.weight*levels[tier])
		}
		capacity = max(capacity, 0)
	}
	return levels
}

// level returns the work per unit of weight up to which the capacity suffices for all demands
// (the water level of max-min fairness), or infinity if it suffices for everything.
func level(demands []demandOf, capacity float64) float64 {
	weight := 0.0
	for _, demand := range demands {
		weight += demand.weight
	}
	slices.SortFunc(demands, func(left, right demandOf) int {
		return cmp.Compare(left.work/left.weight, right.work/right.weight)
	})
	for _, demand := range demands {
		if demand.work*weight > capacity*demand.weight {
			return max(capacity/weight, 0)
		}
		capacity -= demand.work
		weight -= demand.weight
	}
	return math.Inf(1)
}
