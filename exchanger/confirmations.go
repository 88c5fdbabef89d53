package exchanger

import "time"

// Confirmations is what is known of the newest configuration.
type Confirmations interface {
	// Direct returns a version and up to when the store itself has shown this node
	// that it is the newest; the time is zero when there is none.
	Direct() (version uint64, at time.Time)
	// Learn takes in that a version was the newest at the time.
	Learn(version uint64, at time.Time)
}

// unconfirmed is for nodes that exchange no confirmations.
type unconfirmed struct{}

// Direct knows none.
func (unconfirmed) Direct() (uint64, time.Time) { return 0, time.Time{} }

// Learn takes in nothing.
func (unconfirmed) Learn(uint64, time.Time) {}
