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
	// deliveryMargin is how long beyond their boot time ordered engines may take to serve
	// before they are ordered again.
	deliveryMargin = 2 * time.Second
	// listStableTime is how long the number of a service's listed engines has to stay the
	// same before a first plan is made from it.
	listStableTime = 2 * time.Second
)

// Plans is the record of the scaling duty in the store: the plan of each service.
type Plans struct {
	Services map[definer.PoolName]scaler.Plan `json:"services"`
}

// orderKey identifies what an order sets: the engines of one kind for a service in a data
// centre.
type orderKey struct {
	service    definer.PoolName
	dataCentre definer.DataCentre
	spot       bool
}

// timedCount is a count with the time of its observation: the count of an order that the
// platform has accepted, or the length of a list of engines.
type timedCount struct {
	count int
	at    time.Time
}

// scalingDuty orders engines. A single goroutine calls its step.
type scalingDuty struct {
	steward *Steward
	lease   *leaseholder.Leaseholder[Plans]
	scalers map[definer.PoolName]*scaler.Scaler
	// accepted holds the orders that the platform has accepted from this process under
	// consecutive claims; a node that takes over the duty places all orders again.
	accepted map[orderKey]timedCount
	// listed holds how many engines of a service are listed, and since when.
	listed map[definer.PoolName]timedCount
	// pausedUntil is when the pause after a failure ends, failures the number of consecutive
	// failures.
	pausedUntil time.Time
	failures    int
}

func newScalingDuty(steward *Steward) *scalingDuty {
	return &scalingDuty{
		steward:  steward,
		lease:    leaseholder.New[Plans](steward.parts.Store, ScalingDuty, steward.self, steward.settings.Lease),
		scalers:  make(map[definer.PoolName]*scaler.Scaler),
		accepted: make(map[orderKey]timedCount),
		listed:   make(map[definer.PoolName]timedCount),
	}
}

// step places the orders that are due, if this node is the one to perform the duty.
func (duty *scalingDuty) step(ctx context.Context) {
	steward := duty.steward
	table := steward.parts.Services.Table()
	if time.Now().Before(duty.pausedUntil) || table == nil || !steward.parts.Engines.Loaded() {
		return
	}
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.hasYielded)
	if !precedence.Eligible || precedence.Rank > 0 {
		duty.release()
		return
	}
	now := steward.parts.Clock.Now()
	usage := steward.tallier.Usage(now, steward.tallier.WindowAt(now))
	reporting := reportingShare(&usage, precedence.NodeCount)
	if reporting < minReportingShare {
		duty.release()
		return
	}
	if err := duty.readClaim(ctx); err != nil {
		duty.handleFailure("claim", err)
		return
	}
	plans := duty.plan(table, reporting >= fullReportingShare)
	duty.publishEngines(table, &plans)
	due := duty.dueOrders(table, &plans)
	if len(due) == 0 {
		return
	}
	if err := duty.claim(ctx, now, plans); err != nil {
		duty.handleFailure("claim", err)
		return
	}
	duty.placeOrders(ctx, due)
}

// minReportingShare is the share of the listed nodes whose reports a node needs before it
// orders engines.
const minReportingShare = 0.5

// release discards this node's claim and its view of the duty, which another node performs.
func (duty *scalingDuty) release() {
	duty.lease.Forget()
	clear(duty.accepted)
	if duty.steward.Status().Scaling.Holds {
		duty.steward.statuses.update(func(status *Status) { status.Scaling.Holds, status.Scaling.Engines = false, nil })
	}
}

// readClaim reads the claim with the current plans from the store, unless it is known.
func (duty *scalingDuty) readClaim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.lease.Load(ctx)
}

// plan returns the next plan of each service. If whole is false, the load of some nodes is
// unknown and no plan has fewer engines than before.
func (duty *scalingDuty) plan(table *router.Table, whole bool) Plans {
	plans := Plans{Services: make(map[definer.PoolName]scaler.Plan)}
	if current := duty.lease.Current(); current != nil {
		maps.Copy(plans.Services, current.Record.Services)
	}
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		terms := scalingTerms(service.Scaling)
		situation := duty.observe(now, service.Name, whole)
		plan, known := plans.Services[service.Name]
		if !known && !duty.isListStable(now, service.Name) {
			continue
		}
		if !known {
			plan = scaler.InitialPlan(terms, situation)
		}
		plans.Services[service.Name] = duty.scaler(service.Name).NextPlan(now, terms, &plan, situation)
	}
	return plans
}

// isListStable reports whether the number of a service's listed engines has stayed the same
// for listStableTime. When a whole deployment starts, its engines register one after the
// other, and a first plan made from a part of them would give up the rest.
func (duty *scalingDuty) isListStable(now time.Time, service definer.PoolName) bool {
	count := len(duty.steward.parts.Engines.Upstreams(service))
	known, ok := duty.listed[service]
	if !ok || known.count != count {
		duty.listed[service] = timedCount{count, now}
		return false
	}
	return count > 0 && now.Sub(known.at) >= listStableTime
}

func (duty *scalingDuty) scaler(service definer.PoolName) *scaler.Scaler {
	known, ok := duty.scalers[service]
	if !ok {
		known = scaler.New(duty.steward.settings.Headroom)
		duty.scalers[service] = known
	}
	return known
}

func scalingTerms(scaling *router.Scaling) *scaler.Terms {
	return &scaler.Terms{Least: scaling.Least, Most: scaling.Most, SpotPrice: scaling.SpotPrice, DataCentres: scaling.DataCentres()}
}

// observe returns the current load and engines of a service.
func (duty *scalingDuty) observe(now time.Time, service definer.PoolName, whole bool) *scaler.Situation {
	situation := &scaler.Situation{
		Busy:     duty.steward.parts.Demand.BusyEngines(now, service),
		Complete: whole,
		Standing: make(map[definer.DataCentre]scaler.Counts),
	}
	for _, engine := range duty.steward.parts.Engines.Upstreams(service) {
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

// dueOrders returns the orders that the platform has not accepted yet, or accepted without
// delivering the engines in time.
func (duty *scalingDuty) dueOrders(table *router.Table, plans *Plans) []Order {
	var due []Order
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		standing := duty.observe(now, service.Name, true).Standing
		deliveryTime := service.Scaling.Boot + deliveryMargin
		plan, planned := plans.Services[service.Name]
		if !planned {
			continue
		}
		for _, dataCentre := range service.Scaling.DataCentres() {
			counts := plan.Counts[dataCentre]
			// Ordinary engines come first: giving them up makes room for spot engines.
			for _, order := range []Order{
				{Service: service.Name, DataCentre: dataCentre, Count: counts.Ordinary},
				{Service: service.Name, DataCentre: dataCentre, Count: counts.Spot, Spot: true},
			} {
				has := standing[dataCentre].Ordinary
				if order.Spot {
					has = standing[dataCentre].Spot
				}
				taken, ok := duty.accepted[order.key()]
				lacks := has < order.Count && now.Sub(taken.at) > deliveryTime
				if !ok || taken.count != order.Count || lacks {
					due = append(due, order)
				}
			}
		}
	}
	return due
}

func (order *Order) key() orderKey {
	return orderKey{order.Service, order.DataCentre, order.Spot}
}

// claim claims the duty and records the plans, unless another node has claimed it since they
// were made. The error is of package leaseholder.
func (duty *scalingDuty) claim(ctx context.Context, now time.Time, plans Plans) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	basis := duty.lease.Current()
	return duty.lease.Acquire(ctx, now, func(current *leaseholder.Claim[Plans]) (Plans, bool) {
		return plans, current == basis
	})
}

// placeOrders places the orders under this node's claim, until the lease ends or an order fails
// for another reason than that no engines are available.
func (duty *scalingDuty) placeOrders(ctx context.Context, orders []Order) {
	steward := duty.steward
	for index := range orders {
		order := &orders[index]
		token, held := duty.lease.Token()
		if !held {
			return
		}
		err := duty.place(ctx, Grant{Holder: steward.self.VM, Token: token}, order)
		duty.lease.RecordResult(err)
		duty.recordOrder(order, token, err)
		switch {
		case leaseholder.IsKind(err, leaseholder.Unavailable):
			duty.scaler(order.Service).MarkUnavailable(time.Now(), order.DataCentre)
		case err != nil:
			duty.handleFailure("order", err)
			return
		}
		// An order refused as unavailable is repeated like one whose engines do not arrive.
		duty.accepted[order.key()] = timedCount{order.Count, time.Now()}
		duty.failures = 0
	}
}

// recordOrder logs a placed order with its result and adds it to the status.
func (duty *scalingDuty) recordOrder(order *Order, token uint64, err error) {
	steward := duty.steward
	decision := Decision{
		Order: *order, Token: token, Need: duty.lease.Current().Record.Services[order.Service].Need,
		Busy: steward.parts.Demand.BusyEngines(time.Now(), order.Service), At: steward.parts.Clock.Now(), Failure: err,
	}
	steward.parts.Log(logger.EventEnginesOrdered, "service", order.Service, "dataCentre", order.DataCentre, "spot", order.Spot, "count", order.Count,
		"token", token, "need", decision.Need, "busy", decision.Busy, "cause", err)
	steward.statuses.update(func(status *Status) {
		status.Scaling.DutyStatus = DutyStatus{Holds: true, Holder: steward.self.VM, Token: token}
		status.Scaling.Decisions = appendBounded(status.Scaling.Decisions, decision)
	})
}

// publishEngines sets the planned engines and those that accept work in the status.
func (duty *scalingDuty) publishEngines(table *router.Table, plans *Plans) {
	var engines []EngineStatus
	now := time.Now()
	for _, service := range table.Definition().Services {
		if service.Scaling == nil {
			continue
		}
		standing := duty.observe(now, service.Name, true).Standing
		for _, dataCentre := range service.Scaling.DataCentres() {
			engines = append(engines, EngineStatus{
				Service: service.Name, DataCentre: dataCentre,
				Ordered: plans.Services[service.Name].Counts[dataCentre], Standing: standing[dataCentre],
			})
		}
	}
	duty.steward.statuses.update(func(status *Status) { status.Scaling.Engines = engines })
}

func (duty *scalingDuty) place(ctx context.Context, grant Grant, order *Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.steward.parts.Platform.Order(ctx, grant, order)
}

// handleFailure logs a failed step and pauses the duty; after maxFailures in a row the node
// yields the duty.
func (duty *scalingDuty) handleFailure(step string, err error) {
	if leaseholder.IsKind(err, leaseholder.Unneeded) {
		return // Another node has claimed the duty: the next step makes new plans.
	}
	duty.pausedUntil = time.Now().Add(timer.Doubled(firstPause, longestPause, duty.failures))
	duty.failures++
	switch {
	case leaseholder.IsKind(err, leaseholder.Unreadable):
		duty.pausedUntil = time.Now().Add(unreadablePause)
	case duty.failures >= maxFailures:
		duty.pausedUntil = time.Now().Add(yieldDuration)
		duty.release()
		duty.steward.notifyAudience(context.Background(), &messenger.DutyNotice{Duty: ScalingDuty, Yields: true})
	}
	duty.steward.parts.Log(logger.EventDutyFailed, "duty", ScalingDuty, "step", step, "failures", duty.failures, "cause", err)
}

// maxFailures is the number of consecutive failures after which a node leaves the duty to the
// next one.
const maxFailures = 4
