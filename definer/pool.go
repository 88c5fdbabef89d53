package definer

import "slices"

// PoolKind is the kind of the upstreams in a pool.
type PoolKind string

const (
	// Engine is an inference engine, which runs models.
	Engine PoolKind = "engine"
	// Service is any other back end.
	Service PoolKind = "service"
)

// Pool is a group of upstreams that can serve the same requests.
type Pool struct {
	// document has passed all checks of Build.
	document PoolDocument
	// upstreams are in the order of the document.
	upstreams []*Upstream
}

// Name returns the name of the pool.
func (pool *Pool) Name() PoolName { return PoolName(pool.document.Name) }

// Kind returns the kind of the pool's upstreams.
func (pool *Pool) Kind() PoolKind { return PoolKind(pool.document.Kind) }

// ProtectedShare returns the share of slots reserved for protected classes.
func (pool *Pool) ProtectedShare() float64 { return pool.document.ProtectedShare }

// PrefixAffinity reports whether prompts with a common prefix are routed to the
// same engine, load permitting.
func (pool *Pool) PrefixAffinity() bool { return pool.document.PrefixAffinity }

// Upstreams returns the pool's upstreams in the order of the document.
func (pool *Pool) Upstreams() []*Upstream { return pool.upstreams }

// UpstreamsIn returns the pool's upstreams in the given data centre.
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

// Upstream is a back end: an engine or a service.
type Upstream struct {
	// document has passed all checks of Build.
	document UpstreamDocument
}

// Name returns the name of the upstream.
func (upstream *Upstream) Name() UpstreamName { return UpstreamName(upstream.document.Name) }

// DataCentre returns the data centre in which the upstream runs.
func (upstream *Upstream) DataCentre() DataCentre { return DataCentre(upstream.document.DataCentre) }

// Address returns the IP address and port of the upstream.
func (upstream *Upstream) Address() string { return upstream.document.Address }

// Models returns the names of the models that the upstream holds.
func (upstream *Upstream) Models() []string { return upstream.document.Models }

// Serves reports whether the upstream holds the model. Every upstream serves a
// request without a model, for which the name is empty.
func (upstream *Upstream) Serves(model string) bool {
	return model == "" || slices.Contains(upstream.document.Models, model)
}

// Slots returns the initial limit on concurrent requests.
func (upstream *Upstream) Slots() int { return upstream.document.Slots }

// MaxSlots returns the upper bound of the adaptive concurrency limit, which is
// never below Slots.
func (upstream *Upstream) MaxSlots() int {
	return max(upstream.document.MaxSlots, upstream.document.Slots)
}

// Leaving reports whether the upstream gets no new requests.
func (upstream *Upstream) Leaving() bool { return upstream.document.Leaving }
