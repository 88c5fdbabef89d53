// Package scaler computes how many engines of each kind a service needs in each data centre,
// from its load and its present engines. It is deterministic.
//
// Bursts rise within a second and are over before an engine has started, so their engines have
// to exist beforehand: as many as the usual load occupies times a headroom, and no fewer than
// the recent peak load occupied. Spot engines cost less, but all of a data centre's may be
// reclaimed at once. Where they are available most engines are of that kind, with so many more
// that the others carry the load when one data centre loses its own; a few ordinary engines stay
// in each data centre.
package scaler

import (
	"math"
	"time"

	"limpetcleat/definer"
)

const (
	// peakMemory is how long a peak of the load counts, at least, before fewer engines are ordered.
	peakMemory = 2 * time.Minute
	// growThreshold and shrinkThreshold are the ratios of the needed to the planned engines beyond
	// which the plan changes.
	growThreshold   = 1.05
	shrinkThreshold = 0.8
	// minOrdinaryShare is the share of ordinary engines, which are not reclaimed, among those needed.
	minOrdinaryShare = 0.05
	// maxStepShare is the share of a data centre's engines that is given up at a time under load,
	// stepPause the time between two such steps: the engines that replace them start with empty
	// caches.
	maxStepShare = 0.25
	stepPause    = 2 * time.Second
	// idleThreshold is the share of the engines up to which the load counts as none.
	idleThreshold = 0.02
	// peakHeadroom is the number of engines to provide for each one that the peak load occupies.
	peakHeadroom = 1.25
	// averagingTime is the time constant of the average that is the usual load: bursts are shorter.
	averagingTime = 30 * time.Second
	// scarcityDuration is how long spot engines count as unavailable after a refusal.
	scarcityDuration = 4 * time.Second
	// initialSpending is the share of the price of the initial engines that is spent on engines
	// while the load is unknown.
	initialSpending = 0.5
	// DefaultHeadroom is the number of engines to provide for each one that the usual load occupies.
	DefaultHeadroom = 3.0
)

// Terms are the limits and prices for ordering a service's engines.
type Terms struct {
	// Least and Most bound the engines of both kinds together in each data centre.
	Least int
	Most  int
	// SpotPrice is the price of a spot engine, which may be reclaimed, as a fraction of the price
	// of an ordinary engine; 0 if there are no spot engines.
	SpotPrice float64
	// DataCentres are the data centres in which engines may be ordered.
	DataCentres []definer.DataCentre
}

// hasSpot reports whether there are spot engines that cost less than ordinary ones.
func (terms *Terms) hasSpot() bool { return terms.SpotPrice > 0 && terms.SpotPrice < 1 }

// redundancy returns the number of engines to provide for each one that is needed, so that the
// others carry the load when one data centre loses its engines.
func (terms *Terms) redundancy() float64 {
	dataCentres := float64(len(terms.DataCentres))
	if dataCentres < 2 {
		return 1
	}
	return dataCentres / (dataCentres - 1)
}

// Counts are the numbers of engines in one data centre.
type Counts struct {
	Ordinary int `json:"ordinary"`
	// Spot counts the engines that may be reclaimed.
	Spot int `json:"spot"`
}

// Total returns the number of engines of both kinds.
func (counts Counts) Total() int { return counts.Ordinary + counts.Spot }

// Plan is what is ordered for a service, in the form in which the store keeps it.
type Plan struct {
	// Need is the number of engines that the load requires, with headroom.
	Need   float64                       `json:"need"`
	Counts map[definer.DataCentre]Counts `json:"counts"`
}

// Situation is the present load and engines of a service.
type Situation struct {
	// Busy is the number of engines that the load occupies now.
	Busy float64
	// Complete is set if the load of nearly all nodes is known.
	Complete bool
	// Standing are the engines that accept work.
	Standing map[definer.DataCentre]Counts
}

// totalEngines returns the number of engines that accept work.
func (situation *Situation) totalEngines() int {
	sum := 0
	for _, counts := range situation.Standing {
		sum += counts.Total()
	}
	return sum
}

// Scaler plans the engines of one service. It must be used by a single goroutine.
type Scaler struct {
	headroom float64
	// averageBusy is the moving average of occupied engines, as of updatedAt.
	averageBusy float64
	updatedAt   time.Time
	// peakNeed and previousPeak are the highest needs of the current period and of the one before;
	// the current period began at periodStart.
	peakNeed     float64
	previousPeak float64
	periodStart  time.Time
	// shrunkAt is when engines were last given up.
	shrunkAt time.Time
	// scarceUntil is until when spot engines count as unavailable in a data centre.
	scarceUntil map[definer.DataCentre]time.Time
}

// New returns a Scaler that provides headroom engines for each one that the usual load occupies.
func New(headroom float64) *Scaler {
	return &Scaler{headroom: headroom, scarceUntil: make(map[definer.DataCentre]time.Time)}
}

// InitialPlan returns the plan of a service for which nothing has been ordered yet. The present
// engines are what its operator considered necessary and worth their price; until the load is
// known, the plan needs as many spot engines as a share of that price buys.
func InitialPlan(terms *Terms, situation *Situation) Plan {
	plan := Plan{Need: float64(situation.totalEngines()), Counts: make(map[definer.DataCentre]Counts)}
	if terms.hasSpot() {
		plan.Need = max(plan.Need, initialSpending*plan.Need/terms.SpotPrice/terms.redundancy())
	}
	for _, dataCentre := range terms.DataCentres {
		plan.Counts[dataCentre] = situation.Standing[dataCentre]
	}
	return plan
}

// MarkUnavailable notes that no spot engines are available in a data centre.
func (scaler *Scaler) MarkUnavailable(now time.Time, dataCentre definer.DataCentre) {
	scaler.scarceUntil[dataCentre] = now.Add(scarcityDuration)
}

// NextPlan returns the plan that follows the one in force.
func (scaler *Scaler) NextPlan(now time.Time, terms *Terms, plan *Plan, situation *Situation) Plan {
	next := Plan{Need: scaler.need(now, plan, situation), Counts: make(map[definer.DataCentre]Counts)}
	shrinks := situation.Complete && (now.Sub(scaler.shrunkAt) >= stepPause || scaler.isIdle(situation))
	stepped := false
	for _, dataCentre := range terms.DataCentres {
		counts := scaler.targetCounts(now, terms, &next, plan.Counts[dataCentre], dataCentre, situation)
		if ordered := plan.Counts[dataCentre]; counts.Total() < ordered.Total() || counts.Ordinary < ordered.Ordinary {
			if !shrinks {
				counts = Counts{Ordinary: max(counts.Ordinary, ordered.Ordinary), Spot: min(max(counts.Spot, ordered.Spot), terms.Most-max(counts.Ordinary, ordered.Ordinary))}
			}
			stepped = stepped || shrinks
		}
		next.Counts[dataCentre] = counts
	}
	if stepped {
		scaler.shrunkAt = now
	}
	return next
}

// need returns how many engines are needed. It grows at once, and falls once the recent peak has
// been forgotten.
func (scaler *Scaler) need(now time.Time, plan *Plan, situation *Situation) float64 {
	if scaler.periodStart.IsZero() {
		scaler.periodStart, scaler.updatedAt, scaler.previousPeak = now, now, plan.Need
	}
	if now.Sub(scaler.periodStart) >= peakMemory && situation.Complete {
		scaler.periodStart, scaler.previousPeak, scaler.peakNeed = now, scaler.peakNeed, 0
	}
	weight := 1 - math.Exp(-now.Sub(scaler.updatedAt).Seconds()/averagingTime.Seconds())
	scaler.averageBusy += weight * (situation.Busy - scaler.averageBusy)
	scaler.updatedAt = now
	scaler.peakNeed = max(scaler.peakNeed, scaler.averageBusy*scaler.headroom, situation.Busy*peakHeadroom)
	need := max(scaler.peakNeed, scaler.previousPeak)
	if need > plan.Need*growThreshold || need < plan.Need*shrinkThreshold {
		return need
	}
	return plan.Need
}

func (scaler *Scaler) isIdle(situation *Situation) bool {
	return situation.Busy < idleThreshold*float64(situation.totalEngines())
}

// targetCounts returns the counts to order in one data centre where ordered is in force.
func (scaler *Scaler) targetCounts(now time.Time, terms *Terms, next *Plan, ordered Counts, dataCentre definer.DataCentre, situation *Situation) Counts {
	dataCentres := float64(len(terms.DataCentres))
	share := int(math.Ceil(next.Need / dataCentres))
	if !terms.hasSpot() {
		return Counts{Ordinary: scaler.limitStep(ordered.Ordinary, clamp(share, terms.Least, terms.Most), situation)}
	}
	all := clamp(int(math.Ceil(next.Need*terms.redundancy()/dataCentres)), terms.Least, terms.Most)
	standing := situation.Standing[dataCentre]
	room := max(ordered.Ordinary, terms.Most-standing.Spot)
	base := clamp(int(math.Ceil(minOrdinaryShare*next.Need/dataCentres)), 1, max(min(all, room), 1))
	ordinary := min(base+scaler.ordinarySubstitutes(now, dataCentre, situation), max(base, room))
	if ordered.Ordinary > ordinary {
		// The spot engines that replace them have to serve first, and need room to start.
		staying := min(share, ordered.Ordinary, terms.Most-int(maxStepShare*float64(terms.Most)))
		ordinary = scaler.limitStep(ordered.Ordinary, max(ordinary, staying-standing.Spot), situation)
	}
	return Counts{Ordinary: ordinary, Spot: clamp(all-base, 0, terms.Most-ordinary)}
}

// ordinarySubstitutes returns how many more ordinary engines a data centre needs while spot
// engines are unavailable there and too few engines are left in all for the load. Spot engines
// in other data centres are kept, as their caches hold the prompts of callers.
func (scaler *Scaler) ordinarySubstitutes(now time.Time, dataCentre definer.DataCentre, situation *Situation) int {
	for known, until := range scaler.scarceUntil {
		if now.After(until) {
			delete(scaler.scarceUntil, known)
		}
	}
	_, scarce := scaler.scarceUntil[dataCentre]
	lacking := peakHeadroom*situation.Busy - float64(situation.totalEngines())
	if !scarce || lacking <= 0 {
		return 0
	}
	return int(math.Ceil(lacking / float64(len(scaler.scarceUntil))))
}

// limitStep returns the next count on the way from ordered to wanted: it rises at once, and falls
// in steps while there is load.
func (scaler *Scaler) limitStep(ordered, wanted int, situation *Situation) int {
	if wanted >= ordered || scaler.isIdle(situation) {
		return wanted
	}
	step := max(int(maxStepShare*float64(ordered)), 1)
	return max(wanted, ordered-step)
}

func clamp(value, least, most int) int { return max(min(value, most), least) }
