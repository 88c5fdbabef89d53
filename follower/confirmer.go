package follower

import (
	"sync"
	"time"
)

// Confirmer knows up to when the configuration in force was the newest, from the
// store itself and from peers to which the store said so.
type Confirmer struct {
	holder *Holder
	// direct returns up to when the store itself has confirmed it to this node.
	direct func() time.Time
	// behind is told of a newer version that a peer knows, and up to when it was the newest.
	behind func(newer uint64, at time.Time)
	// mutex guards byPeers; no other lock is taken under it.
	mutex sync.Mutex
	// byPeers is up to when peers have confirmed it.
	byPeers time.Time
}

// NewConfirmer returns a Confirmer of what the holder holds.
func NewConfirmer(holder *Holder, direct func() time.Time, behind func(newer uint64, at time.Time)) *Confirmer {
	return &Confirmer{holder: holder, direct: direct, behind: behind}
}

// Direct returns the version in force and up to when the store itself has confirmed
// it; the time is zero when there is none.
func (confirmer *Confirmer) Direct() (uint64, time.Time) {
	// The time is read first: a version that comes into force in between is newer.
	at := confirmer.direct()
	table := confirmer.holder.Table()
	if table == nil {
		return 0, time.Time{}
	}
	return table.Version(), at
}

// Learn takes in that a version was the newest at the time. That says nothing of
// another version but for one that came into force since.
func (confirmer *Confirmer) Learn(version uint64, at time.Time) {
	table := confirmer.holder.Table()
	switch {
	case table == nil || version > table.Version():
		confirmer.behind(version, at)
		return
	case version < table.Version():
		return
	}
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if at.After(confirmer.byPeers) {
		confirmer.byPeers = at
	}
}

// Confirmed returns up to when the configuration in force is known to have been the
// newest.
func (confirmer *Confirmer) Confirmed() time.Time {
	byPeers, direct := confirmer.ByPeers(), confirmer.direct()
	if byPeers.After(direct) {
		return byPeers
	}
	return direct
}

// ByPeers returns up to when peers have confirmed it.
func (confirmer *Confirmer) ByPeers() time.Time {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	return confirmer.byPeers
}
