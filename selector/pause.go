package selector

import (
	"slices"
	"time"

	"limpetcleat/messenger"
)

// riskFrom is the part of an objective from which on a prediction counts as a risk to miss it: the
// loads that predictions are made from are some 90 ms old.
const riskFrom = 0.8

// protection describes the streams of the highest tier that have an objective for pauses.
type protection struct {
	tier int
	// gapObjective is the shortest of their objectives; 0 means that there are none.
	gapObjective time.Duration
}

// protectedStreams returns which streams of a service are protected.
func protectedStreams(kinds map[string]messenger.KindWork) protection {
	var protected protection
	for _, kind := range kinds {
		gap := kind.GapObjective
		switch {
		case gap <= 0 || protected.gapObjective > 0 && kind.Tier > protected.tier:
		case protected.gapObjective == 0 || kind.Tier < protected.tier || gap < protected.gapObjective:
			protected = protection{tier: kind.Tier, gapObjective: gap}
		}
	}
	return protected
}

// includes reports whether the demand is for a protected stream.
func (protected protection) includes(demand *Demand) bool {
	return demand.GapObjective > 0 && demand.Tier <= protected.tier
}

// risk returns how likely a predicted time misses an objective: 0 up to riskFrom of it, 1 from the
// objective on.
func risk(predicted, objective time.Duration) float64 {
	excess := max((predicted.Seconds()/objective.Seconds()-riskFrom)/(1-riskFrom), 0)
	return min(excess*excess, 1)
}

// pause returns the longest pause that is predicted for a stream at a candidate, without the
// request.
func (choice *choice) pause(candidate *candidate) time.Duration {
	return candidate.engine.Pause(candidate.unread() + candidate.deferred())
}

// pauseCost returns the cost of the pauses that the request would have itself and cause in the
// protected streams at a candidate: each one that misses its objective costs that objective.
func (choice *choice) pauseCost(candidate *candidate) time.Duration {
	demand, protected := choice.demand, choice.protected.gapObjective
	before, cost := choice.pause(candidate), 0.0
	if demand.GapObjective > 0 {
		cost += risk(before, demand.GapObjective) * float64(demand.GapObjective)
	}
	if streams := candidate.streams(); protected > 0 && streams > 0 {
		after := before + choice.prefillTime(candidate)
		cost += float64(streams) * (risk(after, protected) - risk(before, protected)) * float64(protected)
	}
	return time.Duration(cost)
}

// withoutInterruptions leaves out the candidates at which a request of a lower tier would make
// protected streams miss their objective, as long as the others can carry the work of its rule:
// where they cannot, the requests of the rule would only wait for each other there.
func (choice *choice) withoutInterruptions(candidates []priced) []priced {
	if choice.protected.gapObjective == 0 || choice.demand.Tier <= choice.protected.tier {
		return candidates
	}
	harmless := append(choice.selector.scratch.harmless[:0], candidates...)
	choice.selector.scratch.harmless = harmless
	harmless = slices.DeleteFunc(harmless, func(priced priced) bool { return choice.interrupts(priced.candidate) })
	if len(harmless) == 0 || choice.capacityOf(harmless) < choice.ruleWork {
		return candidates
	}
	return harmless
}

// capacityOf returns how many engines of usual speed the candidates are worth.
func (choice *choice) capacityOf(candidates []priced) float64 {
	capacity := 0.0
	for _, priced := range candidates {
		capacity += 1 / priced.candidate.engine.Factor()
	}
	return capacity
}

// interrupts reports whether protected streams at a candidate are predicted to miss their objective
// for pauses if the request is sent there.
func (choice *choice) interrupts(candidate *candidate) bool {
	after := choice.pause(candidate) + choice.prefillTime(candidate)
	return candidate.streams() > 0 && after > choice.protected.gapObjective
}

// latenessCost returns the cost of the risk that the first event from a candidate is late; deferrable
// requests are deferred instead.
func (choice *choice) latenessCost(candidate *candidate) time.Duration {
	if choice.demand.Deferrable || choice.demand.Objective <= 0 || choice.objective <= 0 {
		return 0
	}
	return time.Duration(risk(choice.firstEventTime(candidate), choice.objective) * float64(choice.objective))
}
