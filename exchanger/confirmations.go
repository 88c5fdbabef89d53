package exchanger

import "time"

// Confirmations stores up to when configurations are known to have been the newest.
type Confirmations interface {
	// Direct returns the version that the store itself last confirmed to this node, and
	// up to when it was the newest. The time is zero if there is none.
	Direct() (version uint64, at time.Time)
	// Learn stores that a version was the newest at the time.
	Learn(version uint64, at time.Time)
}

// unconfirmed is the default Confirmations; it exchanges none.
type unconfirmed struct{}

// Direct returns no confirmation.
func (unconfirmed) Direct() (uint64, time.Time) { return 0, time.Time{} }

// Learn ignores the confirmation.
func (unconfirmed) Learn(uint64, time.Time) {}
