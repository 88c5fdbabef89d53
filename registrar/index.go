package registrar

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// HasAddress reports whether an upstream that may get requests listens at the address.
func (registrar *Registrar) HasAddress(address string) bool {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if registrar.addresses == nil {
		registrar.addresses = make(map[string]bool, len(registrar.upstreams))
		for _, upstreams := range registrar.byService {
			for _, upstream := range upstreams {
				registrar.addresses[upstream.Address] = true
			}
		}
	}
	return registrar.addresses[address]
}

// rebuildIndex rebuilds byService; mutex is held.
func (registrar *Registrar) rebuildIndex(now time.Time) {
	byService := make(map[definer.PoolName][]*Upstream)
	missing := make(map[definer.PoolName][]*Upstream)
	onProbation := make(map[definer.PoolName][]*Upstream)
	registrar.probationEnds = time.Time{}
	for _, upstream := range registrar.upstreams {
		switch {
		case upstream.Leaving:
		case upstream.OnProbation(now):
			onProbation[upstream.Service] = append(onProbation[upstream.Service], upstream)
			if ends := registrar.probationEnds; ends.IsZero() || upstream.UsableFrom.Before(ends) {
				registrar.probationEnds = upstream.UsableFrom
			}
		case upstream.Missing:
			missing[upstream.Service] = append(missing[upstream.Service], upstream)
		default:
			byService[upstream.Service] = append(byService[upstream.Service], upstream)
		}
	}
	for service, upstreams := range missing {
		if listed := byService[service]; len(upstreams)*restingShare > len(listed)+len(upstreams) {
			byService[service] = append(listed, upstreams...)
		}
	}
	for service, upstreams := range onProbation {
		if len(byService[service]) == 0 {
			byService[service] = slices.Clone(upstreams)
		}
	}
	for _, index := range []map[definer.PoolName][]*Upstream{byService, onProbation} {
		for _, upstreams := range index {
			slices.SortFunc(upstreams, func(left, right *Upstream) int { return cmp.Compare(left.ID, right.ID) })
		}
	}
	registrar.byService, registrar.onProbation = byService, onProbation
	registrar.addresses = nil
}
