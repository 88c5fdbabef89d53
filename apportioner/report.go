package apportioner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Report returns the work of this node's own requests by service, tier and organisation, and that
// of the organisations that are not listed under an empty name. Organisations are listed only
// while the utilisation of the service is above detailAbove or unknown: at lower utilisation, the
// sums suffice to detect that capacity becomes short.
func (apportioner *Apportioner) Report(now time.Time) []messenger.OrganisationWork {
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	apportioner.peers.expire(now) // A node without requests of its own computes no allocation.
	for name, known := range apportioner.services {
		apportioner.refresh(now, name, known)
		if now.Sub(known.capacityAt) > serviceLifetime && !known.short {
			delete(apportioner.services, name)
		}
	}
	var report []messenger.OrganisationWork
	for key, own := range apportioner.own {
		known, ok := apportioner.services[key.service]
		works := own.works(now, key, !ok || known.utilisation > detailAbove)
		if len(works) == 0 {
			delete(apportioner.own, key) // Configurations change; each table takes memory.
		}
		report = append(report, works...)
	}
	return report
}

// Share is what one organisation asks for and may use at a service while capacity is short.
type Share struct {
	Service definer.PoolName
	Tier    int
	// Organisation is empty for all organisations together that are not listed.
	Organisation definer.OrganisationName
	Weight       float64
	// Work is the work of its requests on all nodes and Share the part of it that is within its
	// share, both in engine time per second.
	Work  time.Duration
	Share time.Duration
	// Short is set while the capacity of the service is short. Utilisation is the work that
	// arrives as a fraction of what the live engines do in the same time, and Engines their
	// number.
	Short       bool
	Utilisation float64
	Engines     float64
}

// List returns the shares of all organisations, sorted by service, tier and falling work.
func (apportioner *Apportioner) List(now time.Time) []Share {
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	var list []Share
	for name, known := range apportioner.services {
		apportioner.refresh(now, name, known)
		for tier := range apportioner.tiers(name) {
			list = append(list, apportioner.listTier(now, tableKey{name, tier}, known)...)
		}
	}
	slices.SortFunc(list, func(left, right Share) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Tier, right.Tier),
			cmp.Compare(right.Work, left.Work), cmp.Compare(left.Organisation, right.Organisation))
	})
	return list
}

// listTier returns the shares of the organisations of one tier. The mutex is held.
func (apportioner *Apportioner) listTier(now time.Time, key tableKey, known *service) []Share {
	var list []Share
	for organisation, work := range apportioner.sums(now, key) {
		weight, share := apportioner.weightOf(organisation), work
		if level := known.share(key.tier, weight); known.short && organisation != "" && !math.IsInf(level, 0) {
			share = min(work, level)
		}
		list = append(list, Share{
			Service: key.service, Tier: key.tier, Organisation: organisation, Weight: weight, Work: seconds(work), Share: seconds(share),
			Short: known.short, Utilisation: known.utilisation, Engines: known.engines,
		})
	}
	return list
}
