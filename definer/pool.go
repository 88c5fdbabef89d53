package definer

import "slices"

// PoolKind tells what a pool's upstreams are.
type PoolKind string

const (
	// Engine is a model runner.
	Engine PoolKind = "engine"
	// Service is a plain service.
	Service PoolKind = "service"
)

// Pool is a group of upstreams that can serve the same requests.
type Pool struct {
	// document has passed all checks of Build.
	document PoolDocument
	// upstreams are in the operators' order.
	upstreams []*Upstream
}

// Name returns the pool's name.
func (pool *Pool) Name() PoolName { return PoolName(pool.document.Name) }

// Kind returns what the pool's upstreams are.
func (pool *Pool) Kind() PoolKind { return PoolKind(pool.document.Kind) }

// ProtectedShare returns the share of slots that only protected classes use.
func (pool *Pool) ProtectedShare() float64 { return pool.document.ProtectedShare }

// PrefixAffinity tells whether like prompts go to the same engine.
func (pool *Pool) PrefixAffinity() bool { return pool.document.PrefixAffinity }

// Upstreams returns the pool's upstreams in the operators' order.
func (pool *Pool) Upstreams() []*Upstream { return pool.upstreams }

// UpstreamsIn returns the pool's upstreams in one data centre.
func (pool *Pool) UpstreamsIn(dataCentre DataCentre) []*Upstream {
	var local []*Upstream
	for _, upstream := range pool.upstreams {
		if upstream.DataCentre() == dataCentre {
			local = append(local, upstream)
		}
	}
	return local
}

// DataCentres returns the data centres that hold upstreams of the pool, sorted.
func (pool *Pool) DataCentres() []DataCentre {
	var dataCentres []DataCentre
	for _, upstream := range pool.upstreams {
		if !slices.Contains(dataCentres, upstream.DataCentre()) {
			dataCentres = append(dataCentres, upstream.DataCentre())
		}
	}
	slices.Sort(dataCentres)
	return dataCentres
}

// Upstream is one back end, an engine or a plain service.
type Upstream struct {
	// document has passed all checks of Build.
	document UpstreamDocument
}

// Name returns the upstream's name.
func (upstream *Upstream) Name() UpstreamName { return UpstreamName(upstream.document.Name) }

// DataCentre returns where the upstream runs.
func (upstream *Upstream) DataCentre() DataCentre { return DataCentre(upstream.document.DataCentre) }

// Address returns its IP address and port.
func (upstream *Upstream) Address() string { return upstream.document.Address }

// Models returns the names of the models it holds.
func (upstream *Upstream) Models() []string { return upstream.document.Models }

// Serves tells whether it holds the model; an empty model fits any upstream.
func (upstream *Upstream) Serves(model string) bool {
	return model == "" || slices.Contains(upstream.document.Models, model)
}

// Slots returns the number of concurrent requests to begin with.
func (upstream *Upstream) Slots() int { return upstream.document.Slots }

// MaxSlots returns the upper bound of the adaptive limit.
func (upstream *Upstream) MaxSlots() int {
	return max(upstream.document.MaxSlots, upstream.document.Slots)
}

// Leaving tells whether the upstream must get no new work.
func (upstream *Upstream) Leaving() bool { return upstream.document.Leaving }
