package scheduler

// Policy names a way to order and bound the queue.
type Policy string

const (
	// ServiceLevels is the full policy: strict tiers, fair shares, floors,
	// protected classes, preemption and refusal by expected wait.
	ServiceLevels Policy = "serviceLevels"
	// FirstCome serves in order of arrival, upstreams in turn. It is a baseline
	// for measurements.
	FirstCome Policy = "firstCome"
	// StrictTiers serves higher tiers first and knows nothing else. It is a
	// baseline for measurements.
	StrictTiers Policy = "strictTiers"
)

// traits are the parts of the full policy, each of which can be off.
type traits struct {
	// tiers puts higher tiers first.
	tiers bool
	// fairness shares a tier between organisations.
	fairness bool
	// protection keeps protected classes ahead of lower work.
	protection bool
	// floors gives every class its floor.
	floors bool
	// preemption pauses lower work for higher tiers.
	preemption bool
	// admission refuses what would wait too long.
	admission bool
	// rotation takes upstreams in turn instead of by load.
	rotation bool
}

func (policy Policy) traits() traits {
	switch policy {
	case FirstCome:
		return traits{rotation: true}
	case StrictTiers:
		return traits{tiers: true}
	default:
		return traits{tiers: true, fairness: true, protection: true, floors: true, preemption: true, admission: true}
	}
}
