package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/orderer"
)

const (
	ordersPart = "orders"
	ordersWake = "wake"
	// leaseKind is the kind of the platform's lease objects; each is named
	// after its data centre.
	leaseKind = "lease"
	// leaseRanks is how many members of a data centre may take its lease.
	leaseRanks = 2
)

// OrderUpstream wants an order sent to an engine; OrderAnswered follows, unless
// the process ends first.
type OrderUpstream struct {
	orderer.Order
}

// OrderAnswered tells what became of an OrderUpstream.
type OrderAnswered struct {
	orderer.OrderAnswer
}

func (OrderUpstream) isAction() {}
func (OrderAnswered) isEvent()  {}

// orders keeps the lease of this data centre and orders its engines.
type orders struct {
	*core
	orderer *orderer.Orderer
	// leaseCall is the number of the call under way; 0 is none.
	leaseCall uint64
}

func newOrders(core *core) *orders {
	orders := &orders{core: core}
	orders.orderer = orderer.New(core.self, core.dataCentre, orders, orderer.WithSeed(core.seed))
	return orders
}

func (orders *orders) priority() int { return ordersPriority }

func (orders *orders) handle(event Event) {
	switch event := event.(type) {
	case configurationChanged:
		configuration := orders.configuration
		orders.orderer.SetWanted(orders.now, configuration.Version(), orders.wanted(), configuration.ConcurrentLoads())
		orders.orderer.SetStandsBy(orders.now, orders.standsBy())
	case membersChanged:
		orders.orderer.SetStandsBy(orders.now, orders.standsBy())
	case drainBegan:
		orders.orderer.Stop(orders.now)
	case PlatformAnswered:
		if event.Call == orders.leaseCall {
			orders.leaseCall = 0
			orders.orderer.Answered(orders.now, orderer.Answer{Result: orderer.Result(event.Result), Version: event.Version, Value: event.Value})
		}
	case OrderAnswered:
		orders.orderer.OrderAnswered(orders.now, event.OrderAnswer)
	case TimerFired:
		if event.Key.Part == ordersPart {
			orders.orderer.Fired(orders.now)
		}
	}
}

// wanted returns the engines of this data centre that have a wanted state.
func (orders *orders) wanted() []*definer.Upstream {
	var wanted []*definer.Upstream
	for _, pool := range orders.configuration.Pools() {
		for _, upstream := range pool.UpstreamsIn(orders.dataCentre) {
			if upstream.Wants() && !upstream.Leaving() {
				wanted = append(wanted, upstream)
			}
		}
	}
	return wanted
}

// standsBy tells whether this node is among the few that may take the lease.
func (orders *orders) standsBy() bool {
	ranked := orders.roster.ranked(messenger.Shard{DataCentre: orders.dataCentre, Pool: leaseKind})
	for _, vm := range ranked[:min(len(ranked), leaseRanks)] {
		if vm == orders.self.VM {
			return true
		}
	}
	return false
}

// CallPlatform makes a call for the lease object.
func (orders *orders) CallPlatform(call orderer.Call) {
	orders.leaseCall = orders.call(CallPlatform{
		Verb:    PlatformVerb(call.Verb),
		Kind:    leaseKind,
		Name:    call.Name,
		Version: call.Version,
		Value:   call.Value,
	})
}

// WakeAt sets the one timer.
func (orders *orders) WakeAt(at time.Time) {
	orders.act(SetTimer{Key: TimerKey{Part: ordersPart, ID: ordersWake}, At: at})
}

// Send sends an order.
func (orders *orders) Send(order orderer.Order) { orders.act(OrderUpstream{Order: order}) }

// Tell logs what operators are to know.
func (orders *orders) Tell(notice orderer.Notice, pairs ...any) {
	if number, ok := orderEvent(notice); ok {
		orders.log(number, pairs...)
	}
}

// orderEvent returns the number of the log event of a notice.
func orderEvent(notice orderer.Notice) (int, bool) {
	switch notice {
	case orderer.LeaseTaken:
		return EventLeaseTaken, true
	case orderer.LeaseLost:
		return EventLeaseLost, true
	case orderer.OrderSent:
		return EventOrderSent, true
	case orderer.OrderFailed:
		return EventOrderFailed, true
	case orderer.Differs:
		return EventUpstreamDiffers, true
	case orderer.Matches:
		return EventUpstreamMatches, true
	default:
		return 0, false
	}
}

func (orders *orders) describe(status *Status) {
	if described := orders.orderer.Status(orders.now); described.Wanted > 0 {
		status.Orders = &described
	}
}
