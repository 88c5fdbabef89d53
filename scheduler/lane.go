package scheduler

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// waiting is one ask in the queue.
type waiting struct {
	ask Ask
	// cost is the expected work, in tokens.
	cost float64
	// came is when this scheduler took the ask in.
	came time.Time
	// due is the instant after which the ask is refused.
	due time.Time
	// reason is why it is refused once it is due.
	reason messenger.RefusalReason
	// rank orders the asks of one organisation: the earliest goes first.
	rank time.Time
	// sequence is the order in which asks came to this scheduler.
	sequence uint64
	flow     *flow
	// index is the place in the scheduler's heap of due times.
	index int
}

func (waiting *waiting) place() *int { return &waiting.index }

func (waiting *waiting) before(other *waiting) bool {
	return cmp.Or(waiting.due.Compare(other.due), cmp.Compare(waiting.sequence, other.sequence)) < 0
}

// hopeless tells whether the deadline has passed.
func (waiting *waiting) hopeless(now time.Time) bool {
	return !waiting.ask.Deadline.IsZero() && waiting.ask.Deadline.Before(now)
}

// flow holds the asks of one organisation in one lane.
type flow struct {
	account *account
	lane    *lane
	// asks are sorted: the earliest rank first, then by arrival.
	asks  []*waiting
	cost  float64
	index int
}

func (flow *flow) place() *int { return &flow.index }

func (flow *flow) before(other *flow) bool {
	if flow.account.counter != other.account.counter {
		return flow.account.counter < other.account.counter
	}
	return compareWaiting(flow.asks[0], other.asks[0]) < 0
}

// lane holds the waiting asks of one class that fit the same upstreams.
type lane struct {
	class *class
	shape *shape
	tier  *tier
	// flows holds exactly the organisations with an ask in this lane.
	flows heap[*flow]
	// byOrganisation holds the same flows.
	byOrganisation map[definer.OrganisationName]*flow
	// cost is the waiting work, in tokens.
	cost float64
	// count is the number of waiting asks.
	count int
}

func (lane *lane) head() *waiting { return lane.flows.first().asks[0] }

func (lane *lane) add(entry *waiting, account *account) {
	found, ok := lane.byOrganisation[account.organisation]
	if !ok {
		found = &flow{account: account, lane: lane}
		lane.byOrganisation[account.organisation] = found
	}
	entry.flow = found
	at, _ := slices.BinarySearchFunc(found.asks, entry, compareWaiting)
	found.asks = slices.Insert(found.asks, at, entry)
	lane.adjust(found, entry.cost, 1)
	if ok {
		lane.flows.fix(found)
		return
	}
	if len(account.flows) == 0 {
		lane.tier.start(account)
	}
	account.flows = append(account.flows, found)
	lane.flows.push(found)
}

func (lane *lane) remove(entry *waiting) {
	held := entry.flow
	at, found := slices.BinarySearchFunc(held.asks, entry, compareWaiting)
	if !found {
		return
	}
	lane.adjust(held, -entry.cost, -1)
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
		lane.tier.stop(account)
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
func (lane *lane) last() *waiting {
	worst := lane.flows.first()
	for _, flow := range lane.flows.elements {
		if worst.before(flow) {
			worst = flow
		}
	}
	return worst.asks[len(worst.asks)-1]
}

func compareWaiting(a, b *waiting) int {
	return cmp.Or(a.rank.Compare(b.rank), a.ask.Arrival.Compare(b.ask.Arrival), cmp.Compare(a.sequence, b.sequence))
}
