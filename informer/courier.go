package informer

import (
	"sync"
	"time"

	"limpetcleat/messenger"
)

const (
	// partBytes is how much of a configuration goes into one message: 13 ms of a link of
	// 20 Mbit/s, so that what else goes there waits for no longer.
	partBytes = 32 << 10
	// mostShared is the largest configuration, as it goes between nodes, that is got from
	// a peer first: a group of 16 on links of 10 Mbit/s has it within a second. Others are
	// read from the store, unless that does not answer for storePatience.
	mostShared    = 64 << 10
	storePatience = 2500 * time.Millisecond
	// partPatience is how long a part may take to come until it is asked for again, and
	// the store is asked besides.
	partPatience = 300 * time.Millisecond
	// maxEncoded bounds what is kept of a configuration that a peer tells.
	maxEncoded = 4 << 20
)

// step is what a courier wants done.
type step struct {
	// ask is a part to be asked for, nil for none.
	ask *messenger.DefinitionAsk
	// whole is the encoded form of the version once all of it has come.
	whole   []byte
	version uint64
	// look is set when the store is to be looked at.
	look bool
}

// courier gets the configuration of a version from a peer, part by part. It is safe for
// concurrent use.
type courier struct {
	// self is where parts are to be sent.
	self string
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// version is that which is being got; 0 is none.
	version uint64
	since   time.Time
	askedAt time.Time
	data    []byte
	// size is that of the whole, 0 before the first part.
	size int
}

// want notes that a peer has a version that this node lacks; it is called again and again
// while that is so.
func (courier *courier) want(now time.Time, version uint64) step {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if version > courier.version {
		courier.begin(now, version)
		return courier.ask(now)
	}
	if now.Sub(courier.askedAt) < partPatience {
		return step{}
	}
	if courier.tooLarge(now) {
		return step{look: true}
	}
	next := courier.ask(now)
	next.look = true
	return next
}

// take takes in a part.
func (courier *courier) take(now time.Time, part *messenger.DefinitionPart) step {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if part.Version < courier.version || courier.version == 0 || part.Size <= 0 || part.Size > maxEncoded {
		return step{}
	}
	if part.Version > courier.version || courier.size != 0 && part.Size != courier.size {
		courier.begin(now, part.Version)
	}
	if part.Offset != len(courier.data) || len(courier.data)+len(part.Data) > part.Size || len(part.Data) == 0 {
		return step{}
	}
	courier.size = part.Size
	if courier.tooLarge(now) {
		return step{look: true}
	}
	courier.data = append(courier.data, part.Data...)
	if len(courier.data) < courier.size {
		return courier.ask(now)
	}
	whole := step{whole: courier.data, version: courier.version}
	courier.data = nil
	return whole
}

// begin forgets what has come; mutex is held.
func (courier *courier) begin(now time.Time, version uint64) {
	courier.version, courier.since, courier.data, courier.size = version, now, nil, 0
}

// tooLarge tells whether the configuration is left to the store for the time being; mutex
// is held.
func (courier *courier) tooLarge(now time.Time) bool {
	return courier.size > mostShared && now.Sub(courier.since) < storePatience
}

// ask asks for the next part; mutex is held.
func (courier *courier) ask(now time.Time) step {
	courier.askedAt = now
	return step{ask: &messenger.DefinitionAsk{Version: courier.version, Offset: len(courier.data), ReplyTo: courier.self}}
}
