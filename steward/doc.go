// Package steward performs the singleton tasks of a deployment, called duties: reporting to
// the platform how many requests of each organisation began in each time window, and ordering
// engines. Any node that aggregates the reports of others may hold a duty; the holder follows
// from the list of nodes, from which of them answer, and from the fenced lease that package
// leaseholder keeps in the store for each duty, so that no two nodes act at once.
package steward

import (
	"context"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/tallier"
)

// Grant is the lease under which a node acts.
type Grant struct {
	Holder definer.VM
	// Token is the fencing token: a platform that checks it refuses a call with a lower
	// token than it has seen.
	Token uint64
}

// Platform carries out the calls of the holder of a duty. Errors are of package
// leaseholder.
type Platform interface {
	// ReportUsage reports the usage of a window. The error is of kind Outdated if another node has
	// acted under a newer grant, Refused if nothing was done, else Unanswered.
	ReportUsage(ctx context.Context, grant Grant, usage *SettledWindow) error
	// Order sets a target number of engines. The error is of kind Outdated if another node
	// has acted under a newer grant, Unavailable if the platform has no engines to give,
	// Refused if nothing was done, else Unanswered.
	Order(ctx context.Context, grant Grant, order *Order) error
}

// Order is the target number of engines of one kind for a service in a data centre.
type Order struct {
	Service    definer.PoolName
	DataCentre definer.DataCentre
	// Spot selects engines that the platform may reclaim.
	Spot  bool
	Count int
}

// Services provides the configured services.
type Services interface {
	// Table returns the configuration in force, or nil.
	Table() *router.Table
}

// Directory lists engines.
type Directory interface {
	// Upstreams returns the engines of a service that accept work.
	Upstreams(service definer.PoolName) []*registrar.Upstream
	// Loaded reports whether the list of engines has been read.
	Loaded() bool
}

// Demand measures the load on engines.
type Demand interface {
	// BusyEngines returns how many engines of a service the work of all nodes occupies.
	BusyEngines(now time.Time, service definer.PoolName) float64
}

// Fleet orders the nodes for taking on duties.
type Fleet interface {
	// Precedence returns this node's place in that order, without the aggregators for
	// which passedOver returns true: those cannot take on a duty.
	Precedence(now time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence
}

// Clock provides the time of day that nodes share.
type Clock interface {
	// Now returns the best estimate of the true time.
	Now() time.Time
}

// Sender sends messages to peers without blocking.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// SettledWindow is the final usage of a window. Its counts never change once it is in the store,
// so each repetition of a report has the same content.
type SettledWindow struct {
	Window   tallier.Window                      `json:"window"`
	Requests map[definer.OrganisationName]uint64 `json:"requests"`
	// Complete is set if every known process had reported all its counts.
	Complete bool `json:"whole"`
	// Reported is set once the platform has accepted the report.
	Reported bool `json:"told"`
}

// Book is the record of the usage duty in the store: the recently settled windows, the oldest
// first.
type Book struct {
	Settled []SettledWindow `json:"settled"`
}

// lastWindow returns the newest settled window, or false if there is none.
func (book *Book) lastWindow() (tallier.Window, bool) {
	if len(book.Settled) == 0 {
		return 0, false
	}
	return book.Settled[len(book.Settled)-1].Window, true
}

// unreported returns the settled windows that the platform is not known to have accepted, the
// oldest first.
func (book *Book) unreported() []*SettledWindow {
	var unreported []*SettledWindow
	for index := range book.Settled {
		if !book.Settled[index].Reported {
			unreported = append(unreported, &book.Settled[index])
		}
	}
	return unreported
}
