package exchanger

import "limpetcleat/messenger"

// Knowledge is what this node knows of the store's entries and tells others.
type Knowledge interface {
	// Positions tells up to where it knows them.
	Positions() messenger.Positions
	// Since returns what one at the positions lacks, as far as it goes into a message of
	// the size, or nil. It may be called with the lock of the exchanger held.
	Since(positions messenger.Positions, size NewsSize) *messenger.News
	// Take takes in what a peer told.
	Take(news *messenger.News)
}

// NewsSize tells how much of what a node lacks is told at once.
type NewsSize int

const (
	// LargeNews are for nodes of the same data centre, and for all from the first leader.
	LargeNews NewsSize = iota
	// SmallNews go between data centres, where bytes are billed and several leaders tell
	// the same.
	SmallNews
)
