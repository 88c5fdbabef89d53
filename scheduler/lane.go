package scheduler

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// queuedAsk is one ask in the queue.
type queuedAsk struct {
	ask Ask
	// cost is the expected work, in tokens.
	cost float64
	// enqueuedAt is when this scheduler queued the ask.
	enqueuedAt time.Time
	// expiresAt is the time after which the ask is refused.
	expiresAt time.Time
	// reason is the reason of the refusal after expiresAt.
	reason messenger.RefusalReason
	// sortTime orders the asks of one organisation: the earliest goes first.
	sortTime time.Time
	// sequence numbers the asks in the order in which this scheduler queued them.
	sequence uint64
	flow     *flow
	// index is the position in Scheduler.byExpiry.
	index int
}

func (queuedAsk *queuedAsk) indexPointer() *int { return &queuedAsk.index }

func (queuedAsk *queuedAsk) before(other *queuedAsk) bool {
	return cmp.Or(queuedAsk.expiresAt.Compare(other.expiresAt), cmp.Compare(queuedAsk.sequence, other.sequence)) < 0
}

// deadlinePassed reports whether the ask has a deadline that has passed.
func (queuedAsk *queuedAsk) deadlinePassed(now time.Time) bool {
	return !queuedAsk.ask.Deadline.IsZero() && queuedAsk.ask.Deadline.Before(now)
}

// flow holds the asks of one organisation in one lane.
type flow struct {
	account *account
	lane    *lane
	// asks is sorted by sortTime, then by arrival.
	asks  []*queuedAsk
	cost  float64
	index int
}

func (flow *flow) indexPointer() *int { return &flow.index }

func (flow *flow) before(other *flow) bool {
	if flow.account.counter != other.account.counter {
		return flow.account.counter < other.account.counter
	}
	return compareQueued(flow.asks[0], other.asks[0]) < 0
}

// lane holds the waiting asks of one class that fit the same upstreams.
type lane struct {
	class       *class
	upstreamSet *upstreamSet
	tier        *tier
	// flows holds exactly the organisations with an ask in this lane.
	flows heap[*flow]
	// byOrganisation indexes flows by organisation.
	byOrganisation map[definer.OrganisationName]*flow
	// cost is the expected work of the waiting asks, in tokens.
	cost float64
	// count is the number of waiting asks.
	count int
}

func (lane *lane) head() *queuedAsk { return lane.flows.first().asks[0] }

func (lane *lane) add(queuedAsk *queuedAsk, account *account) {
	found, ok := lane.byOrganisation[account.organisation]
	if !ok {
		found = &flow{account: account, lane: lane}
		lane.byOrganisation[account.organisation] = found
	}
	queuedAsk.flow = found
	at, _ := slices.BinarySearchFunc(found.asks, queuedAsk, compareQueued)
	found.asks = slices.Insert(found.asks, at, queuedAsk)
	lane.adjust(found, queuedAsk.cost, 1)
	if ok {
		lane.flows.fix(found)
		return
	}
	if len(account.flows) == 0 {
		lane.tier.activate(account)
	}
	account.flows = append(account.flows, found)
	lane.flows.push(found)
}

func (lane *lane) remove(queuedAsk *queuedAsk) {
	held := queuedAsk.flow
	at, found := slices.BinarySearchFunc(held.asks, queuedAsk, compareQueued)
	if !found {
		return
	}
	lane.adjust(held, -queuedAsk.cost, -1)
	if len(held.asks) > 1 {
		held.asks = slices.Delete(held.asks, at, at+1)
		lane.flows.fix(held)
		return
	}
	lane.flows.remove(held)
	held.asks = nil
	account := held.account
	delete(lane.byOrganisation, account.organisation)
	account.flows = slices.DeleteFunc(account.flows, func(other *flow) bool { return other == held })
	if len(account.flows) == 0 {
		lane.tier.deactivate(account)
	}
}

func (lane *lane) adjust(flow *flow, cost float64, count int) {
	flow.cost += cost
	flow.account.cost += cost
	lane.cost += cost
	lane.count += count
	lane.class.cost += cost
	lane.class.waiting += count
}

// last returns the ask that would be served last.
func (lane *lane) last() *queuedAsk {
	worst := lane.flows.first()
	for _, flow := range lane.flows.elements {
		if worst.before(flow) {
			worst = flow
		}
	}
	return worst.asks[len(worst.asks)-1]
}

func compareQueued(a, b *queuedAsk) int {
	return cmp.Or(a.sortTime.Compare(b.sortTime), a.ask.Arrival.Compare(b.ask.Arrival), cmp.Compare(a.sequence, b.sequence))
}
