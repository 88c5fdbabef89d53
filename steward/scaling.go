package steward

import (
	"context"
	"maps"
	"time"

	"limpetcleat/definer"
	"limpetcleat/leaseholder"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/router"
	"limpetcleat/scaler"
	"limpetcleat/timer"
)

const (
	// refillPause is how long engines that were ordered may take to serve beyond their
	// start until they are ordered again.
	refillPause = 2 * time.Second
	// listingPause is how long the list of a service's engines has to stay the same until
	// a first plan is made from it.
	listingPause = 2 * time.Second
)

// Plans is what the store keeps of orders: for each service what it is to have.
type Plans struct {
	Services map[definer.PoolName]scaler.Plan `json:"services"`
}

// subject is what one order is about.
type subject struct {
	service    definer.PoolName
	dataCentre definer.DataCentre
	spot       bool
}

// counted is a count as of a time: of an order that the platform has taken, or of a list.
type counted struct {
	count int
	at    time.Time
}

// scalingDuty orders engines. Its step is called by one goroutine.
type scalingDuty struct {
	steward *Steward
	lease   *leaseholder.Leaseholder[Plans]
	scalers map[definer.PoolName]*scaler.Scaler
	// placed holds the orders that the platform has taken from this process under claims
	// in a row; whoever takes over places all anew.
	placed map[subject]counted
	// listed holds how many engines of a service were listed, and since when.
	listed map[definer.PoolName]counted
	// pausedUntil is until when nothing is tried, failures counts those in a row.
	pausedUntil time.Time
	failures    int
}

func newScalingDuty(steward *Steward) *scalingDuty {
	return &scalingDuty{
		steward: steward,
		lease:   leaseholder.New[Plans](steward.parts.Shelf, ScalingDuty, steward.self, steward.settings.Lease),
		scalers: make(map[definer.PoolName]*scaler.Scaler),
		placed:  make(map[subject]counted),
		listed:  make(map[definer.PoolName]counted),
	}
}

// step looks whether other engines are to be ordered, if that is for this node to do.
func (duty *scalingDuty) step(ctx context.Context) {
	steward := duty.steward
	table := steward.parts.Services.Table()
	if time.Now().Before(duty.pausedUntil) || table == nil || !steward.parts.Engines.Known() {
		return
	}
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.yields)
	if !precedence.Eligible || precedence.Rank > 0 {
		duty.rest()
		return
	}
	now := steward.parts.Clock.Now()
	usage := steward.tallier.Usage(now, steward.tallier.At(now))
	heard := heardShare(&usage, precedence.Listed)
	if heard < fairlyHeard {
		duty.rest()
		return
	}
	if err := duty.look(ctx); err != nil {
		duty.failed("claim", err)
		return
	}
	plans := duty.plan(table, heard >= wellHeard)
	duty.show(table, &plans)
	due := duty.due(table, &plans)
	if len(due) == 0 {
		return
	}
	if err := duty.claim(ctx, now, plans); err != nil {
		duty.failed("claim", err)
		return
	}
	duty.placeAll(ctx, due)
}

// fairlyHeard is the part of the listed nodes that a node has to hear to order engines.
const fairlyHeard = 0.5

// rest gives up what this node knows of the duty, which is another's.
func (duty *scalingDuty) rest() {
	duty.lease.Forget()
	clear(duty.placed)
	if duty.steward.Status().Scaling.Holds {
		duty.steward.board.change(func(status *Status) { status.Scaling.Holds, status.Scaling.Engines = false, nil })
	}
}

// look reads what was ordered, unless it is known.
func (duty *scalingDuty) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.lease.Look(ctx)
}

// plan returns what each service is to have; of a partial view no fewer engines follow.
func (duty *scalingDuty) plan(table *router.Table, whole bool) Plans {
	plans := Plans{Services: make(map[definer.PoolName]scaler.Plan)}
	if standing := duty.lease.Standing(); standing != nil {
		maps.Copy(plans.Services, standing.Record.Services)
	}
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		terms := termsOf(service.Scaling)
		situation := duty.see(now, service.Name, whole)
		plan, known := plans.Services[service.Name]
		if !known && !duty.isComplete(now, service.Name) {
			continue
		}
		if !known {
			plan = scaler.First(terms, situation)
		}
		plans.Services[service.Name] = duty.scaler(service.Name).Next(now, terms, &plan, situation)
	}
	return plans
}

// isComplete tells whether the list of a service's engines has not grown for a time: when a
// whole deployment starts they list themselves one after the other, and a first plan made
// from some would give the rest up.
func (duty *scalingDuty) isComplete(now time.Time, service definer.PoolName) bool {
	count := len(duty.steward.parts.Engines.Of(service))
	known, ok := duty.listed[service]
	if !ok || known.count != count {
		duty.listed[service] = counted{count, now}
		return false
	}
	return count > 0 && now.Sub(known.at) >= listingPause
}

func (duty *scalingDuty) scaler(service definer.PoolName) *scaler.Scaler {
	known, ok := duty.scalers[service]
	if !ok {
		known = scaler.New(duty.steward.settings.Headroom)
		duty.scalers[service] = known
	}
	return known
}

func termsOf(scaling *router.Scaling) *scaler.Terms {
	return &scaler.Terms{Least: scaling.Least, Most: scaling.Most, SpotPrice: scaling.SpotPrice, DataCentres: scaling.DataCentres()}
}

// see returns what is seen of a service.
func (duty *scalingDuty) see(now time.Time, service definer.PoolName, whole bool) *scaler.Situation {
	situation := &scaler.Situation{
		Busy:     duty.steward.parts.Demand.Busy(now, service),
		Whole:    whole,
		Standing: make(map[definer.DataCentre]scaler.Counts),
	}
	for _, engine := range duty.steward.parts.Engines.Of(service) {
		counts := situation.Standing[engine.DataCentre]
		if engine.Spot {
			counts.Spot++
		} else {
			counts.Ordinary++
		}
		situation.Standing[engine.DataCentre] = counts
	}
	return situation
}

// due returns the orders that the platform has not taken yet, or of which it has not
// delivered.
func (duty *scalingDuty) due(table *router.Table, plans *Plans) []Order {
	var due []Order
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		standing := duty.see(now, service.Name, true).Standing
		patience := service.Scaling.Boot + refillPause
		plan, planned := plans.Services[service.Name]
		if !planned {
			continue
		}
		for _, dataCentre := range service.Scaling.DataCentres() {
			counts := plan.Counts[dataCentre]
			// What makes room goes first.
			for _, order := range []Order{
				{Service: service.Name, DataCentre: dataCentre, Count: counts.Ordinary},
				{Service: service.Name, DataCentre: dataCentre, Count: counts.Spot, Spot: true},
			} {
				has := standing[dataCentre].Ordinary
				if order.Spot {
					has = standing[dataCentre].Spot
				}
				taken, ok := duty.placed[order.subject()]
				lacks := has < order.Count && now.Sub(taken.at) > patience
				if !ok || taken.count != order.Count || lacks {
					due = append(due, order)
				}
			}
		}
	}
	return due
}

func (order *Order) subject() subject {
	return subject{order.Service, order.DataCentre, order.Spot}
}

// claim claims the duty with the plans, unless another has claimed it since they were made.
// The error is of package leaseholder.
func (duty *scalingDuty) claim(ctx context.Context, now time.Time, plans Plans) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	basis := duty.lease.Standing()
	return duty.lease.Take(ctx, now, func(standing *leaseholder.Claim[Plans]) (Plans, bool) {
		return plans, standing == basis
	})
}

// placeAll places orders under this node's claim.
func (duty *scalingDuty) placeAll(ctx context.Context, orders []Order) {
	steward := duty.steward
	for index := range orders {
		order := &orders[index]
		token, held := duty.lease.Token()
		if !held {
			return
		}
		err := duty.place(ctx, Grant{Holder: steward.self.VM, Token: token}, order)
		duty.lease.Acted(err)
		duty.report(order, token, err)
		switch {
		case leaseholder.IsKind(err, leaseholder.Unavailable):
			duty.scaler(order.Service).Refused(time.Now(), order.DataCentre)
		case err != nil:
			duty.failed("order", err)
			return
		}
		// One that is not to be had is ordered again like one that does not come.
		duty.placed[order.subject()] = counted{order.Count, time.Now()}
		duty.failures = 0
	}
}

// report logs an order that was placed and how that ended, and shows it to operators.
func (duty *scalingDuty) report(order *Order, token uint64, err error) {
	steward := duty.steward
	decision := Decision{
		Order: *order, Token: token, Need: duty.lease.Standing().Record.Services[order.Service].Need,
		Busy: steward.parts.Demand.Busy(time.Now(), order.Service), At: steward.parts.Clock.Now(), Failure: err,
	}
	steward.parts.Log(logger.EventEnginesOrdered, "service", order.Service, "dataCentre", order.DataCentre, "spot", order.Spot, "count", order.Count,
		"token", token, "need", decision.Need, "busy", decision.Busy, "cause", err)
	steward.board.change(func(status *Status) {
		status.Scaling.DutyStatus = DutyStatus{Holds: true, Holder: steward.self.VM, Token: token}
		status.Scaling.Decisions = latest(status.Scaling.Decisions, decision)
	})
}

// show shows operators what is planned and what takes work.
func (duty *scalingDuty) show(table *router.Table, plans *Plans) {
	var engines []EngineStatus
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		standing := duty.see(now, service.Name, true).Standing
		for _, dataCentre := range service.Scaling.DataCentres() {
			engines = append(engines, EngineStatus{
				Service: service.Name, DataCentre: dataCentre,
				Ordered: plans.Services[service.Name].Counts[dataCentre], Standing: standing[dataCentre],
			})
		}
	}
	duty.steward.board.change(func(status *Status) { status.Scaling.Engines = engines })
}

func (duty *scalingDuty) place(ctx context.Context, grant Grant, order *Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.steward.parts.Platform.Order(ctx, grant, order)
}

// failed logs that a step failed, and pauses.
func (duty *scalingDuty) failed(step string, err error) {
	if leaseholder.IsKind(err, leaseholder.Needless) {
		return // Another has claimed it: the plans are made anew.
	}
	duty.pausedUntil = time.Now().Add(timer.Doubled(firstPause, longestPause, duty.failures))
	duty.failures++
	switch {
	case leaseholder.IsKind(err, leaseholder.Unreadable):
		duty.pausedUntil = time.Now().Add(unreadablePause)
	case duty.failures >= yieldFailures:
		duty.pausedUntil = time.Now().Add(yieldLife)
		duty.rest()
		duty.steward.notify(context.Background(), &messenger.DutyNotice{Duty: ScalingDuty, Yields: true})
	}
	duty.steward.parts.Log(logger.EventDutyFailed, "duty", ScalingDuty, "step", step, "failures", duty.failures, "cause", err)
}

// yieldFailures is how many failures in a row have a node leave the duty to the next one.
const yieldFailures = 4
