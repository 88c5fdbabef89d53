package follower

import (
	"sync"
	"sync/atomic"

	"limpetcleat/router"
)

// Holder is the Sink that holds the configuration in force. It replaces a version only
// by a higher one. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[router.Table]
	// mutex serialises the configurations that come from the store and from peers.
	mutex sync.Mutex
	// report is called with each table that comes into force, or with the error of a
	// configuration that cannot.
	report func(table *router.Table, err error)
}

// NewHolder returns a Holder without a configuration. It calls report with each table
// that comes into force, or with the error of a configuration that cannot.
func NewHolder(report func(table *router.Table, err error)) *Holder {
	return &Holder{report: report}
}

// Table returns the configuration in force, or nil if there is none.
func (holder *Holder) Table() *router.Table { return holder.table.Load() }

// Replace applies the configurations that a list returned.
func (holder *Holder) Replace(entries []router.Definition, reading Reading) {
	holder.Apply(entries, reading)
}

// Apply puts each configuration newer than the one in force into force, in order.
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
