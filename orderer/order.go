package orderer

import "time"

// order begins what is due, a few calls at a time: readings of engines whose
// state is not known or was just changed, then orders, then one reading of an
// engine that was as wanted.
func (orderer *Orderer) order(now time.Time) {
	sendBy := orderer.lease.sendBy(now)
	if sendBy.IsZero() || orderer.behind() {
		return
	}
	free := min(callsPerTick, maxCalls-orderer.underWay(now))
	routine := true
	for _, engine := range orderer.engines {
		if free <= 0 {
			return
		}
		if engine.order != nil {
			continue
		}
		order, ok := orderer.next(now, engine, &routine)
		if !ok {
			continue
		}
		order.SendBy = sendBy
		orderer.send(now, engine, order)
		free--
	}
}

// next returns what is due for an engine. The routine reading of engines that
// are as wanted is spent on the first that is due.
func (orderer *Orderer) next(now time.Time, engine *engine, routine *bool) (Order, bool) {
	if order, ok := engine.step(now, orderer.mayLoad(now)); ok {
		return order, true
	}
	if now.Before(engine.readDue) || !engine.backoff.over(now) {
		return Order{}, false
	}
	if engine.fulfilled() {
		if !*routine {
			return Order{}, false
		}
		*routine = false
	}
	return Order{Act: ReadState}, true
}

// mayLoad tells whether one more load may begin.
func (orderer *Orderer) mayLoad(now time.Time) bool {
	if !orderer.loads.over(now) {
		return false
	}
	loading := 0
	for _, engine := range orderer.engines {
		if engine.loading != "" {
			loading++
		}
	}
	return loading < orderer.maxLoads
}

func (orderer *Orderer) send(now time.Time, engine *engine, order Order) {
	orderer.orders++
	order.Number = orderer.orders
	order.Upstream = engine.upstream
	order.Fencing = orderer.lease.version
	order.Timeout = orderer.timing.OrderTimeout
	engine.order = &order
	if order.Act == Load {
		engine.loading, engine.loadingFrom = order.Model, now
	}
	if order.Act != ReadState {
		engine.polls = 0
		orderer.shell.Tell(OrderSent, "upstream", engine.upstream.Name(), "order", order.Act, "model", order.Model, "role", order.Role, "fencing", order.Fencing)
	}
	orderer.shell.Send(order)
}

// OrderAnswered takes in the answer to an order. One that is no longer waited
// for is ignored.
func (orderer *Orderer) OrderAnswered(now time.Time, answer OrderAnswer) {
	for _, engine := range orderer.engines {
		if engine.order != nil && engine.order.Number == answer.Number {
			orderer.settle(now, engine, answer)
			break
		}
	}
	if orderer.stopping {
		orderer.advance(now)
	}
}

// settle takes in what became of an engine's order.
func (orderer *Orderer) settle(now time.Time, engine *engine, answer OrderAnswer) {
	order := engine.order
	engine.order = nil
	if answer.Outcome == Taken && order.Act == ReadState && !answer.Known {
		answer.Outcome = Refused
	}
	if answer.Outcome == Taken {
		orderer.taken(now, engine, order, answer)
		return
	}
	if answer.Outcome == Unsent {
		if order.Act == Load {
			engine.loading = ""
		}
		return
	}
	if order.Act != ReadState {
		orderer.shell.Tell(OrderFailed, "upstream", engine.upstream.Name(), "order", order.Act, "outcome", answer.Outcome, "fencing", order.Fencing)
	}
	engine.known = false
	engine.backoff.fail(now, orderer.random, answer.RetryAfter)
	engine.readDue = now
	switch answer.Outcome {
	case OldFencing:
		orderer.lease.bar(now)
	case Unanswered:
		orderer.unanswered = now
		return
	}
	if order.Act == Load {
		engine.loading = ""
		orderer.loads.fail(now, orderer.random, answer.RetryAfter)
	}
}

// taken takes in the answer to an order that was taken. What keeps an engine's
// orders spaced out ends only with an order that it takes, or when it is as
// wanted: one that answers readings and refuses orders is not asked faster.
func (orderer *Orderer) taken(now time.Time, engine *engine, order *Order, answer OrderAnswer) {
	if answer.Known && engine.take(now, answer.State) {
		orderer.loads.failures = 0
	}
	if order.Act != ReadState {
		engine.backoff.failures = 0
		engine.readDue = now.Add(confirmAfter)
		return
	}
	if engine.fulfilled() {
		engine.backoff.failures = 0
	}
	orderer.tellEngine(engine)
}

// tellEngine tells when an engine begins and ends to be other than wanted.
func (orderer *Orderer) tellEngine(engine *engine) {
	if differs := !engine.fulfilled(); differs != engine.differs {
		engine.differs = differs
		notice := Matches
		if differs {
			notice = Differs
		}
		orderer.shell.Tell(notice, "upstream", engine.upstream.Name(), "missing", engine.missing(), "extra", engine.extra(), "role", engine.state.Role)
	}
}
