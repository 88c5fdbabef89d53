package exchanger

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Knowledge is the copy of the entries of the store that this node holds and sends to
// others.
type Knowledge interface {
	// Positions returns up to where the entries are known.
	Positions() messenger.Positions
	// MissingEntries returns the entries that a node at the positions lacks, as far as they fit
	// into a message of the size, or nil if it lacks none. It may be called while the
	// lock of the Exchanger is held.
	MissingEntries(positions messenger.Positions, size NewsSize) *messenger.News
	// Apply stores the entries that a peer sent.
	Apply(from definer.VM, news *messenger.News)
	// Current returns up to when this node's copy of the store's data was current, and what it
	// holds of the entries. The time is zero if it is unknown.
	Current() (at time.Time, upstreams, evacuations chronicler.Holding)
	// LearnCurrent stores that a copy with the holdings and the version of the configuration was current at the time.
	LearnCurrent(at time.Time, version uint64, upstreams, evacuations chronicler.Holding)
	// Answered returns when the store last answered any node, as far as is known; zero if it never did.
	Answered() time.Time
	// LearnAnswered stores that the store answered a node at the time.
	LearnAnswered(at time.Time)
}

// NewsSize says how many of the entries that a node lacks are sent in one message.
type NewsSize int

const (
	// LargeNews is used within a data centre, and by the first leader for all nodes.
	LargeNews NewsSize = iota
	// SmallNews is used between data centres, where traffic is billed and several leaders
	// send the same entries.
	SmallNews
)
