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
	if !choice.demand.Engine {
		return 0
	}
	return candidate.engine.Pause(candidate.unread() + candidate.deferred())
}

// pauseCost returns the cost of the pauses that the request would have itself and cause in the
// protected streams at a candidate.
func (choice *choice) pauseCost(candidate *candidate) time.Duration {
	demand, protected := choice.demand, choice.protected.gapObjective
	before, cost := choice.pause(candidate), 0.0
	if demand.GapObjective > 0 {
		cost += risk(before, demand.GapObjective) * float64(demand.GapObjective)
	}
	if streams := candidate.streams(); protected > 0 && streams > 0 {
		after := before + candidate.engine.PrefillTime(demand.PromptTokens-candidate.cachedTokens)
		cost += float64(streams) * (risk(after, protected) - risk(before, protected)) * float64(choice.interruptionCost())
	}
	return time.Duration(cost)
}

// withoutInterruptions leaves out the candidates at which a request of a lower tier would make
// protected streams miss their objective, if there are others.
func (choice *choice) withoutInterruptions(candidates []priced) []priced {
	if choice.protected.gapObjective == 0 || choice.demand.Tier <= choice.protected.tier {
		return candidates
	}
	harmless := slices.DeleteFunc(slices.Clone(candidates), func(priced priced) bool { return choice.interrupts(priced.candidate) })
	if len(harmless) == 0 {
		return candidates
	}
	return harmless
}

// interrupts reports whether protected streams at a candidate are predicted to miss their objective
// for pauses if the request is sent there.
func (choice *choice) interrupts(candidate *candidate) bool {
	after := choice.pause(candidate) + candidate.engine.PrefillTime(choice.demand.PromptTokens-candidate.cachedTokens)
	return candidate.streams() > 0 && after > choice.protected.gapObjective
}

// interruptionCost returns the cost of a pause that makes a protected stream miss its objective:
// the objective itself or, for a request of a lower tier, the longest time that it may have to wait
// itself, so that it does not interrupt a stream of a higher one in order to be served sooner.
func (choice *choice) interruptionCost() time.Duration {
	demand := choice.demand
	if demand.Tier <= choice.protected.tier {
		return choice.protected.gapObjective
	}
	return demand.Objective + time.Duration(maxWaitShare*float64(demand.TimeLeft))
}

// latenessCost returns the cost of the risk that the first event from a candidate is late.
func (choice *choice) latenessCost(candidate *candidate) time.Duration {
	if choice.demand.Deferrable || choice.demand.Objective <= 0 || choice.objective <= 0 {
		return 0
	}
	return time.Duration(risk(choice.firstEventTime(candidate), choice.objective) * float64(choice.objective))
}
