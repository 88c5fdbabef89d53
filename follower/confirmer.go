package follower

import (
	"sync"
	"time"
)

// Confirmer tracks until when the configuration in force is known to have been the
// newest, from the store itself and from peers that the store confirmed it to. It is
// safe for concurrent use.
type Confirmer struct {
	holder *Holder
	// confirmedByStore returns the time up to which the store itself has confirmed the
	// configuration to this node.
	confirmedByStore func() time.Time
	// onNewer is called with a newer version that a peer knows, and the time at which
	// that version was the newest.
	onNewer func(newer uint64, at time.Time)
	// mutex guards confirmedByPeers; no other lock is acquired while it is held.
	mutex sync.Mutex
	// confirmedByPeers is the time up to which peers have confirmed the configuration.
	confirmedByPeers time.Time
}

// NewConfirmer returns a Confirmer for the configuration of the holder. It calls
// confirmedByStore for the time up to which the store has confirmed the configuration,
// and onNewer when a peer knows a newer version.
func NewConfirmer(holder *Holder, confirmedByStore func() time.Time, onNewer func(newer uint64, at time.Time)) *Confirmer {
	return &Confirmer{holder: holder, confirmedByStore: confirmedByStore, onNewer: onNewer}
}

// InForce returns the version in force; 0 if there is none.
func (confirmer *Confirmer) InForce() uint64 {
	table := confirmer.holder.Table()
	if table == nil {
		return 0
	}
	return table.Version()
}

// StoreConfirmation returns the version in force and the time up to which the store itself has
// confirmed it. Both are zero while no configuration is in force.
func (confirmer *Confirmer) StoreConfirmation() (uint64, time.Time) {
	// The time is read before the version: a version that comes into force in
	// between is newer than the one that the time is about.
	at := confirmer.confirmedByStore()
	table := confirmer.holder.Table()
	if table == nil {
		return 0, time.Time{}
	}
	return table.Version(), at
}

// Learn records a peer's word that a version was the newest at a time. It confirms only
// that version: an older version is ignored, and a newer version is passed to onNewer.
func (confirmer *Confirmer) Learn(version uint64, at time.Time) {
	table := confirmer.holder.Table()
	switch {
	case table == nil || version > table.Version():
		confirmer.onNewer(version, at)
		return
	case version < table.Version():
		return
	}
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if at.After(confirmer.confirmedByPeers) {
		confirmer.confirmedByPeers = at
	}
}

// Confirmed returns the time up to which the configuration in force is known to have
// been the newest, from the store or from peers.
func (confirmer *Confirmer) Confirmed() time.Time {
	confirmedByPeers, confirmedByStore := confirmer.ConfirmedByPeers(), confirmer.confirmedByStore()
	if confirmedByPeers.After(confirmedByStore) {
		return confirmedByPeers
	}
	return confirmedByStore
}

// ConfirmedByPeers returns the time up to which peers have confirmed the configuration.
func (confirmer *Confirmer) ConfirmedByPeers() time.Time {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	return confirmer.confirmedByPeers
}
