package scheduler

import "limpetcleat/definer"

// account is what one organisation has used in one tier.
type account struct {
	organisation definer.OrganisationName
	weight       float64
	// counter is the work granted so far, divided by the weight.
	counter float64
	// flows are the account's queues; none of them is empty.
	flows []*flow
	// grants counts the organisation's slots in use in this tier.
	grants int
	// cost is the waiting work of all flows, in tokens.
	cost  float64
	index int
}

func (account *account) place() *int { return &account.index }

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
	// least is the counter that an organisation starts from when none waits.
	least float64
}

func newTier() *tier {
	return &tier{accounts: make(map[definer.OrganisationName]*account)}
}

func (tier *tier) account(name definer.OrganisationName, weight float64) *account {
	found, ok := tier.accounts[name]
	if !ok {
		found = &account{organisation: name, counter: tier.least}
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

// start makes an account active. An organisation that was idle gets no credit
// for it: its counter is lifted to the least of those that wait.
func (tier *tier) start(account *account) {
	account.counter = max(account.counter, tier.floor())
	tier.weight += account.weight
	tier.active.push(account)
}

func (tier *tier) stop(account *account) {
	tier.least = max(tier.least, tier.floor())
	tier.active.remove(account)
	tier.weight -= account.weight
	if tier.active.len() == 0 {
		tier.weight = 0
	}
}

func (tier *tier) floor() float64 {
	if tier.active.len() == 0 {
		return tier.least
	}
	return tier.active.first().counter
}

// charge adds work to an account; a negative amount corrects an estimate.
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

// sweep drops the accounts that stand no worse than a new one would.
func (tier *tier) sweep() {
	floor := tier.floor()
	for name, account := range tier.accounts {
		if len(account.flows) == 0 && account.grants == 0 && account.counter <= floor {
			delete(tier.accounts, name)
		}
	}
}
