package scheduler

// Policy names a scheduling policy: how the queue is ordered and bounded.
type Policy string

const (
	// ServiceLevels is the full policy: strict tiers, fair shares, floors,
	// protected classes, preemption and refusal by expected wait.
	ServiceLevels Policy = "serviceLevels"
	// FirstCome serves asks in order of arrival and uses upstreams in rotation. It is
	// a baseline for measurements.
	FirstCome Policy = "firstCome"
	// StrictTiers serves higher tiers first and has no other rule. It is a baseline
	// for measurements.
	StrictTiers Policy = "strictTiers"
)

// features are the parts of a policy that can be enabled independently.
type features struct {
	// tiers serves higher tiers first.
	tiers bool
	// fairness divides the slots of a tier between organisations by weight.
	fairness bool
	// protection reserves slots for protected classes and serves them first in their
	// tier.
	protection bool
	// floors guarantees each unprotected class its floor share.
	floors bool
	// preemption pauses lower work for higher tiers.
	preemption bool
	// admission refuses asks whose expected wait is too long.
	admission bool
	// rotation chooses upstreams in rotation instead of by load.
	rotation bool
}

func (policy Policy) features() features {
	switch policy {
	case FirstCome:
		return features{rotation: true}
	case StrictTiers:
		return features{tiers: true}
	default:
		return features{tiers: true, fairness: true, protection: true, floors: true, preemption: true, admission: true}
	}
}
