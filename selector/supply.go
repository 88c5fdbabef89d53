package selector

import "time"

const (
	// basePrice is the price of prefilling cached tokens again while no request waits, as a
	// multiple of the prefill time: the platform bills this time at about half of what a long
	// request earns.
	basePrice = 8.0
	// coldPriceShare is the part of the price that is charged for a subject that no engine is
	// known to hold, at an engine other than the one all nodes prefer: most likely no peer is
	// having it prefilled now.
	coldPriceShare = 0.25
	// maxUtilisation caps the utilisation used in prices, to keep them finite: at 0.9 a delay
	// of a millisecond is passed on ten times.
	maxUtilisation = 0.9
)

// missingTokens counts the tokens of the shared parts that a candidate would have to prefill.
func (choice *choice) missingTokens(candidate *candidate) int {
	return choice.demand.sharedTokens() - candidate.cachedTokens
}

// cacheMissCost returns what it costs other requests and the operator that a candidate does not
// hold the shared parts. If no candidate holds the subject, the cost favours the engine that
// all nodes prefer for it.
func (choice *choice) cacheMissCost(candidate *candidate) time.Duration {
	if !choice.subjectCached {
		return choice.coldCost(candidate)
	}
	return time.Duration(choice.price * float64(choice.service.predicted.Work(choice.missingTokens(candidate))))
}

// coldCost returns the cost of prefilling a subject that no engine is known to hold.
func (choice *choice) coldCost(candidate *candidate) time.Duration {
	if candidate.upstream.ID == choice.preferred {
		return 0
	}
	price := coldPriceShare * choice.price
	if choice.selector.peerReports.incomplete() {
		// Nodes know too little of each other's prefills to agree on an engine otherwise.
		price = choice.price
	}
	return time.Duration(price * float64(choice.service.predicted.Work(choice.demand.sharedTokens())))
}
