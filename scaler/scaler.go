// Package scaler decides how many engines of each kind a service is to have in each data
// centre. It is deterministic: what is seen goes in, counts come out.
//
// Bursts rise within a second and are over before an engine has started, so that there have
// to be engines for them beforehand: as many as the usual work takes, times a headroom, and
// no fewer than the most work of late took. Where engines may be had for less that may be reclaimed, all of a data centre
// at once, most are of that kind, and so many more that the others carry the work when one
// data centre's go. A few of the other kind stay in each.
package scaler

import (
	"math"
	"time"

	"limpetcleat/definer"
)

const (
	// memory is how long the most work of late counts before fewer engines are ordered.
	memory = 2 * time.Minute
	// growShare and shrinkShare are how far what is needed must be from what is ordered
	// until that changes.
	growShare   = 1.05
	shrinkShare = 0.8
	// baseShare is the part of the engines needed that is of the kind which is not
	// reclaimed.
	baseShare = 0.05
	// stepShare is the part of a data centre's engines that goes at a time while there is
	// work, stepPause the time between: those that come hold nothing of what these did.
	stepShare = 0.25
	stepPause = 2 * time.Second
	// idleShare is the part of the engines up to which work counts as none.
	idleShare = 0.02
	// spareShare is how many engines there have to be for each one that the work takes at
	// its most.
	spareShare = 1.25
	// usualMemory is how long work counts for what is usual: bursts are over before.
	usualMemory = 30 * time.Second
	// scarceLife is how long engines count as not to be had behind a refusal.
	scarceLife = 4 * time.Second
	// firstSpending is the part of the price of what stood first that is spent on engines
	// while the work is not known.
	firstSpending = 0.5
	// DefaultHeadroom is how many engines there are for each one that the usual work takes.
	DefaultHeadroom = 3.0
)

// Terms are what a service's engines may be ordered by.
type Terms struct {
	// Least and Most bound the engines of both kinds in each data centre.
	Least int
	Most  int
	// SpotPrice is the price of engines that may be reclaimed, as a part of that of the
	// others; 0 is when there are none.
	SpotPrice float64
	// DataCentres are where they may be ordered.
	DataCentres []definer.DataCentre
}

// hasSpot tells whether there are engines that may be reclaimed, for less.
func (terms *Terms) hasSpot() bool { return terms.SpotPrice > 0 && terms.SpotPrice < 1 }

// margin returns how many engines there have to be for each one that is needed, so that
// the others carry the work when those of one data centre go.
func (terms *Terms) margin() float64 {
	places := float64(len(terms.DataCentres))
	if places < 2 {
		return 1
	}
	return places / (places - 1)
}

// Counts are engines of one data centre.
type Counts struct {
	Ordinary int `json:"ordinary"`
	// Spot counts those that may be reclaimed.
	Spot int `json:"spot"`
}

// Sum returns the engines of both kinds.
func (counts Counts) Sum() int { return counts.Ordinary + counts.Spot }

// Plan is what is ordered of a service, as the store keeps it.
type Plan struct {
	// Need is how many engines the work needs, with headroom.
	Need   float64                       `json:"need"`
	Counts map[definer.DataCentre]Counts `json:"counts"`
}

// Situation is what is seen of a service.
type Situation struct {
	// Busy is how many engines the work takes now.
	Busy float64
	// Whole is set if the work of nearly all nodes is known.
	Whole bool
	// Standing are the engines that take work.
	Standing map[definer.DataCentre]Counts
}

// serving returns how many engines take work.
func (situation *Situation) serving() int {
	sum := 0
	for _, counts := range situation.Standing {
		sum += counts.Sum()
	}
	return sum
}

// Scaler decides for one service. One goroutine owns it.
type Scaler struct {
	headroom float64
	// usual is how many engines the work took of late, as of seenAt.
	usual  float64
	seenAt time.Time
	// most and before are the most need of this span of time and of the one before; a span
	// began at since.
	most   float64
	before float64
	since  time.Time
	// steppedAt is when engines were last given up.
	steppedAt time.Time
	// scarce holds until when engines that may be reclaimed count as not to be had.
	scarce map[definer.DataCentre]time.Time
}

// New returns a Scaler that wants so many engines for each one that the usual work takes.
func New(headroom float64) *Scaler {
	return &Scaler{headroom: headroom, scarce: make(map[definer.DataCentre]time.Time)}
}

// First returns the plan of a service of which nothing was ordered yet. What stands is what
// its operator thought was needed and worth its price; until the work is known, as many
// engines that may be reclaimed are wanted as a part of that price buys.
func First(terms *Terms, situation *Situation) Plan {
	plan := Plan{Need: float64(situation.serving()), Counts: make(map[definer.DataCentre]Counts)}
	if terms.hasSpot() {
		plan.Need = max(plan.Need, firstSpending*plan.Need/terms.SpotPrice/terms.margin())
	}
	for _, dataCentre := range terms.DataCentres {
		plan.Counts[dataCentre] = situation.Standing[dataCentre]
	}
	return plan
}

// Refused notes that no engines that may be reclaimed are to be had in a data centre.
func (scaler *Scaler) Refused(now time.Time, dataCentre definer.DataCentre) {
	scaler.scarce[dataCentre] = now.Add(scarceLife)
}

// Next returns the plan behind the one that is in force.
func (scaler *Scaler) Next(now time.Time, terms *Terms, plan *Plan, situation *Situation) Plan {
	next := Plan{Need: scaler.need(now, plan, situation), Counts: make(map[definer.DataCentre]Counts)}
	shrinks := situation.Whole && (now.Sub(scaler.steppedAt) >= stepPause || scaler.isIdle(situation))
	stepped := false
	for _, dataCentre := range terms.DataCentres {
		counts := scaler.counts(now, terms, &next, plan.Counts[dataCentre], dataCentre, situation)
		if ordered := plan.Counts[dataCentre]; counts.Sum() < ordered.Sum() || counts.Ordinary < ordered.Ordinary {
			if !shrinks {
				counts = Counts{Ordinary: max(counts.Ordinary, ordered.Ordinary), Spot: min(max(counts.Spot, ordered.Spot), terms.Most-max(counts.Ordinary, ordered.Ordinary))}
			}
			stepped = stepped || shrinks
		}
		next.Counts[dataCentre] = counts
	}
	if stepped {
		scaler.steppedAt = now
	}
	return next
}

// need returns how many engines are needed: more at once, fewer once the most work of late
// has been forgotten.
func (scaler *Scaler) need(now time.Time, plan *Plan, situation *Situation) float64 {
	if scaler.since.IsZero() {
		scaler.since, scaler.seenAt, scaler.before = now, now, plan.Need
	}
	if now.Sub(scaler.since) >= memory && situation.Whole {
		scaler.since, scaler.before, scaler.most = now, scaler.most, 0
	}
	weight := 1 - math.Exp(-now.Sub(scaler.seenAt).Seconds()/usualMemory.Seconds())
	scaler.usual += weight * (situation.Busy - scaler.usual)
	scaler.seenAt = now
	scaler.most = max(scaler.most, scaler.usual*scaler.headroom, situation.Busy*spareShare)
	need := max(scaler.most, scaler.before)
	if need > plan.Need*growShare || need < plan.Need*shrinkShare {
		return need
	}
	return plan.Need
}

func (scaler *Scaler) isIdle(situation *Situation) bool {
	return situation.Busy < idleShare*float64(situation.serving())
}

// counts returns what is to be ordered in one data centre where so much is ordered.
func (scaler *Scaler) counts(now time.Time, terms *Terms, next *Plan, ordered Counts, dataCentre definer.DataCentre, situation *Situation) Counts {
	places := float64(len(terms.DataCentres))
	share := int(math.Ceil(next.Need / places))
	if !terms.hasSpot() {
		return Counts{Ordinary: scaler.towards(ordered.Ordinary, clamp(share, terms.Least, terms.Most), situation)}
	}
	all := clamp(int(math.Ceil(next.Need*terms.margin()/places)), terms.Least, terms.Most)
	standing := situation.Standing[dataCentre]
	room := max(ordered.Ordinary, terms.Most-standing.Spot)
	base := clamp(int(math.Ceil(baseShare*next.Need/places)), 1, max(min(all, room), 1))
	ordinary := min(base+scaler.bridge(now, dataCentre, situation), max(base, room))
	if ordered.Ordinary > ordinary {
		// Those that replace them have to be there first, and need room to come.
		staying := min(share, ordered.Ordinary, terms.Most-int(stepShare*float64(terms.Most)))
		ordinary = scaler.towards(ordered.Ordinary, max(ordinary, staying-standing.Spot), situation)
	}
	return Counts{Ordinary: ordinary, Spot: clamp(all-base, 0, terms.Most-ordinary)}
}

// bridge returns how many more ordinary engines a data centre needs while others are not to
// be had there, and too few are left in all for the work. Where others stand they stay:
// they hold what callers ask for.
func (scaler *Scaler) bridge(now time.Time, dataCentre definer.DataCentre, situation *Situation) int {
	for known, until := range scaler.scarce {
		if now.After(until) {
			delete(scaler.scarce, known)
		}
	}
	_, scarce := scaler.scarce[dataCentre]
	lacking := spareShare*situation.Busy - float64(situation.serving())
	if !scarce || lacking <= 0 {
		return 0
	}
	return int(math.Ceil(lacking / float64(len(scaler.scarce))))
}

// towards returns the count on the way from what is ordered to what is wanted: up at once,
// down in steps while there is work.
func (scaler *Scaler) towards(ordered, wanted int, situation *Situation) int {
	if wanted >= ordered || scaler.isIdle(situation) {
		return wanted
	}
	step := max(int(stepShare*float64(ordered)), 1)
	return max(wanted, ordered-step)
}

func clamp(value, least, most int) int { return max(min(value, most), least) }
