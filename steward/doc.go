// Package steward fulfils the duties that are one node's at a time: it tells the platform
// how many requests of each organisation began in each window of time, and orders engines.
// Any node that aggregates the reports of others may do so; which does follows from the
// list of nodes and from who answers, and from the store's object of each duty, by which
// package leaseholder keeps two from acting as one.
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

// Grant is under what a node acts.
type Grant struct {
	Holder definer.VM
	// Token is the fencing token: an act with a lower one than the platform has seen is
	// refused, where it looks at that.
	Token uint64
}

// Platform carries out what the holder of a duty asks for. Errors are of package
// leaseholder.
type Platform interface {
	// Tell tells the usage of a window. The error is of kind Outdated if another has acted
	// under a newer grant, Refused if nothing was done, else Unanswered.
	Tell(ctx context.Context, grant Grant, usage *Settled) error
	// Order orders so many engines. The error is of kind Outdated if another has acted
	// under a newer grant, Unavailable if none are to be had, Refused if nothing was done,
	// else Unanswered.
	Order(ctx context.Context, grant Grant, order *Order) error
}

// Order is how many engines of one kind a service is to have in a data centre.
type Order struct {
	Service    definer.PoolName
	DataCentre definer.DataCentre
	// Spot orders engines that may be reclaimed.
	Spot  bool
	Count int
}

// Services tells which services there are.
type Services interface {
	// Table returns the configuration in force, or nil.
	Table() *router.Table
}

// Directory lists engines.
type Directory interface {
	// Of returns those of a service that take work.
	Of(service definer.PoolName) []*registrar.Upstream
	// Known tells whether the list was read yet.
	Known() bool
}

// Demand tells how much work there is.
type Demand interface {
	// Busy returns how many engines of a service the work of all nodes takes.
	Busy(now time.Time, service definer.PoolName) float64
}

// Fleet tells a node's place among the others.
type Fleet interface {
	// Precedence returns it, passing over aggregators that cannot take on a duty.
	Precedence(now time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence
}

// Clock tells the true time.
type Clock interface {
	// Now returns what is taken for the true time.
	Now() time.Time
}

// Sender sends messages to peers; it never blocks.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// Settled is the usage of a window as it is told, again and again the same.
type Settled struct {
	Window   tallier.Window                      `json:"window"`
	Requests map[definer.OrganisationName]uint64 `json:"requests"`
	// Whole is set if every process that was known had told all that it counted.
	Whole bool `json:"whole"`
	// Told is set once the platform has taken it.
	Told bool `json:"told"`
}

// Book is what the store keeps of usage: what was settled lately, the oldest window first.
type Book struct {
	Settled []Settled `json:"settled"`
}

// last returns the last window that is settled, or false if none is.
func (book *Book) last() (tallier.Window, bool) {
	if len(book.Settled) == 0 {
		return 0, false
	}
	return book.Settled[len(book.Settled)-1].Window, true
}

// untold returns the windows that are not known to have been told, the oldest first.
func (book *Book) untold() []*Settled {
	var untold []*Settled
	for index := range book.Settled {
		if !book.Settled[index].Told {
			untold = append(untold, &book.Settled[index])
		}
	}
	return untold
}
