package orderer

import (
	"time"

	"limpetcleat/definer"
)

// Status is what an orderer knows, for operators.
type Status struct {
	// Holder is the VM that the lease object last named here; empty is none.
	Holder definer.VM `json:"holder,omitempty"`
	// Held says that this process may give orders.
	Held bool `json:"held"`
	// Fencing is the version of the lease object last seen.
	Fencing uint64 `json:"fencing,omitempty"`
	// Wanted counts the engines with a wanted state. Only a holder knows of the
	// others below.
	Wanted int `json:"wanted"`
	// Fulfilled counts those that said that they are as wanted.
	Fulfilled int `json:"fulfilled"`
	// Differing are those that said otherwise, by name.
	Differing []EngineStatus `json:"differing,omitempty"`
}

// EngineStatus is one engine that is not as wanted.
type EngineStatus struct {
	Upstream definer.UpstreamName `json:"upstream"`
	Missing  []string             `json:"missing,omitempty"`
	Extra    []string             `json:"extra,omitempty"`
	Role     string               `json:"role,omitempty"`
	// Loading is the model that it was ordered to load.
	Loading string `json:"loading,omitempty"`
	// Failures counts the orders and readings that failed since one was taken.
	Failures int `json:"failures,omitempty"`
}

// Status returns what the orderer knows now.
func (orderer *Orderer) Status(now time.Time) Status {
	status := Status{
		Holder:  orderer.lease.record.VM,
		Held:    orderer.lease.held(now),
		Fencing: orderer.lease.version,
		Wanted:  len(orderer.engines),
	}
	for _, engine := range orderer.engines {
		switch {
		case engine.fulfilled():
			status.Fulfilled++
		case engine.known || engine.backoff.failures > 0:
			status.Differing = append(status.Differing, engine.status())
		}
	}
	return status
}

func (engine *engine) status() EngineStatus {
	return EngineStatus{
		Upstream: engine.upstream.Name(),
		Missing:  engine.missing(),
		Extra:    engine.extra(),
		Role:     engine.state.Role,
		Loading:  engine.loading,
		Failures: engine.backoff.failures,
	}
}
