package follower

import (
	"sync"
	"sync/atomic"

	"limpetcleat/router"
)

// Holder holds the configuration in force. A version never gives way to a lower
// one.
type Holder struct {
	table atomic.Pointer[router.Table]
	// mutex is held while configurations are taken in, by the store or by a peer.
	mutex sync.Mutex
	// report is told of each table that comes into force, or why one cannot.
	report func(table *router.Table, err error)
}

// NewHolder returns a holder without a configuration.
func NewHolder(report func(table *router.Table, err error)) *Holder {
	return &Holder{report: report}
}

// Table returns the configuration in force, or nil.
func (holder *Holder) Table() *router.Table { return holder.table.Load() }

// Replace takes in the configuration that a list returned.
func (holder *Holder) Replace(entries []router.Definition, reading Reading) {
	holder.Apply(entries, reading)
}

// Apply takes in configurations in order.
func (holder *Holder) Apply(definitions []router.Definition, _ Reading) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for _, definition := range definitions {
		current := holder.table.Load()
		if current != nil && current.Version() >= definition.Version {
			continue
		}
		table, err := router.New(definition)
		if err == nil {
			holder.table.Store(table)
		}
		holder.report(table, err)
	}
}
