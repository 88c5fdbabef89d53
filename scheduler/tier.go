package scheduler

import "limpetcleat/definer"

// account tracks the work granted to one organisation in one tier, for weighted fair
// queueing.
type account struct {
	organisation definer.OrganisationName
	weight       float64
	// counter is the work granted so far, divided by the weight.
	counter float64
	// flows holds the organisation's queues in all lanes of the tier; none is empty.
	flows []*flow
	// grants counts the organisation's grants in this tier.
	grants int
	// cost is the expected work of the waiting asks of all flows, in tokens.
	cost  float64
	index int
}

func (account *account) indexPointer() *int { return &account.index }

func (account *account) before(other *account) bool {
	if account.counter != other.counter {
		return account.counter < other.counter
	}
	return account.organisation < other.organisation
}

// tier holds the accounts of all organisations in one tier.
type tier struct {
	// accounts holds each organisation at most once.
	accounts map[definer.OrganisationName]*account
	// active holds exactly the accounts that have an ask waiting.
	active heap[*account]
	// weight is the sum of the weights of the active accounts.
	weight float64
	// startCounter is the counter of a new account while no organisation waits.
	startCounter float64
}

func newTier() *tier {
	return &tier{accounts: make(map[definer.OrganisationName]*account)}
}

func (tier *tier) account(name definer.OrganisationName, weight float64) *account {
	found, ok := tier.accounts[name]
	if !ok {
		found = &account{organisation: name, counter: tier.startCounter}
		tier.accounts[name] = found
	}
	if len(found.flows) == 0 {
		found.weight = weight
		if weight <= 0 {
			found.weight = 1
		}
	}
	return found
}

// activate adds an account that got its first waiting ask. An organisation gets no
// credit for idle time: its counter is raised to the lowest one of those that wait.
func (tier *tier) activate(account *account) {
	account.counter = max(account.counter, tier.minCounter())
	tier.weight += account.weight
	tier.active.push(account)
}

func (tier *tier) deactivate(account *account) {
	tier.startCounter = max(tier.startCounter, tier.minCounter())
	tier.active.remove(account)
	tier.weight -= account.weight
	if tier.active.len() == 0 {
		tier.weight = 0
	}
}

func (tier *tier) minCounter() float64 {
	if tier.active.len() == 0 {
		return tier.startCounter
	}
	return tier.active.first().counter
}

// charge adds work, in tokens, to an account; a negative cost corrects an estimate.
func (tier *tier) charge(account *account, cost float64) {
	account.counter += cost / account.weight
	if len(account.flows) == 0 {
		return
	}
	tier.active.fix(account)
	for _, flow := range account.flows {
		flow.lane.flows.fix(flow)
	}
}

// sweep removes the idle accounts whose counter is not above that of a new account.
func (tier *tier) sweep() {
	floor := tier.minCounter()
	for name, account := range tier.accounts {
		if len(account.flows) == 0 && account.grants == 0 && account.counter <= floor {
			delete(tier.accounts, name)
		}
	}
}
