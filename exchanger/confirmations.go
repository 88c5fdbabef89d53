package exchanger

import "time"

// Confirmations stores up to when configurations are known to have been the newest.
type Confirmations interface {
	// StoreConfirmation returns the version that the store itself last confirmed to this node, and
	// up to when it was the newest. The time is zero if there is none.
	StoreConfirmation() (version uint64, at time.Time)
	// InForce returns the version in force at this node, 0 if there is none.
	InForce() uint64
	// Learn stores that a version was the newest at the time.
	Learn(version uint64, at time.Time)
}

// noConfirmations is the default Confirmations; it exchanges none.
type noConfirmations struct{}

// StoreConfirmation returns no confirmation.
func (noConfirmations) StoreConfirmation() (uint64, time.Time) { return 0, time.Time{} }

// InForce returns no version.
func (noConfirmations) InForce() uint64 { return 0 }

// Learn ignores the confirmation.
func (noConfirmations) Learn(uint64, time.Time) {}
