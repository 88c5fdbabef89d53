package selector

import "time"

const (
	// basePrice is what reading cached tokens again costs while nobody waits, against
	// its time: the platform bills it at about half of what a long request earns.
	basePrice = 8.0
	// coldShare is the part of the price that counts against reading a subject that is
	// known nowhere elsewhere than all nodes would: most likely no peer reads it now.
	coldShare = 0.25
	// fullestSide bounds how busy the engines of a side count as, so that the price of
	// their time stays finite: at 0.9 a millisecond is passed on ten times.
	fullestSide = 0.9
)

// missing counts the tokens of the shared parts that a candidate would have to read.
func (choice *choice) missing(view *view) int {
	return choice.demand.sharedTokens() - view.cached
}

// supplyCost returns what it costs others and the operator that a candidate does not
// hold the shared parts. Of a subject that is known nowhere, all nodes prefer the same
// engine.
func (choice *choice) supplyCost(view *view) time.Duration {
	if !choice.known {
		return choice.coldCost(view)
	}
	return time.Duration(choice.price * float64(choice.pace.reading(choice.missing(view))))
}

func (choice *choice) coldCost(view *view) time.Duration {
	if view.upstream.ID == choice.preferred {
		return 0
	}
	price := coldShare * choice.price
	if choice.selector.others.partial() {
		// Nodes know too little of each other's readings to agree otherwise.
		price = choice.price
	}
	return time.Duration(price * float64(choice.pace.reading(choice.demand.sharedTokens())))
}
