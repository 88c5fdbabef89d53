package informer

import (
	"sync"
	"time"

	"limpetcleat/messenger"
)

const (
	// partBytes is how many bytes of a configuration one message carries. A part takes
	// 13 ms of a link of 20 Mbit/s, which is the longest that it delays other messages.
	partBytes = 32 << 10
	// maxPeerFetchBytes is the size of the largest encoded configuration that is fetched
	// from a peer first: a group of 16 nodes on links of 10 Mbit/s receives it within a
	// second. Larger configurations are read from the store; if the store has not
	// supplied one after storeReadTimeout, it is fetched from a peer.
	maxPeerFetchBytes = 64 << 10
	storeReadTimeout  = 2500 * time.Millisecond
	// partTimeout is how long a part may take to arrive before it is requested again and
	// the store is read as well.
	partTimeout = 300 * time.Millisecond
	// ownReadTime is how long a node that reads the store may take to get a version from there before it requests
	// it from a peer: a watch that is ended early, and a list that the store answers at once.
	ownReadTime = 300 * time.Millisecond
	// maxEncodedBytes limits how much of an encoded configuration from a peer is kept in
	// memory.
	maxEncodedBytes = 4 << 20
)

// fetchStep is what the caller of a fetcher has to do next.
type fetchStep struct {
	// ask is the request for a part to be sent, nil for none.
	ask *messenger.DefinitionAsk
	// tries counts the requests for the version, and known is how long it has been known.
	tries int
	known time.Duration
	// encoded is the complete encoded configuration once all parts have arrived, else
	// nil.
	encoded []byte
	version uint64
	// readStore is set when the configuration should be read from the store.
	readStore bool
}

// fetcher assembles one version of the configuration from the parts that peers send. It
// is safe for concurrent use.
type fetcher struct {
	// replyTo is the address of this node, to which peers send the parts.
	replyTo string
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	// version is the version being fetched; 0 is none.
	version   uint64
	startedAt time.Time
	askedAt   time.Time
	tries     int
	data      []byte
	// storeFails is set while this node's calls to the store are known to fail.
	storeFails bool
	// size is the size of the whole encoded configuration, 0 before the first part.
	size int
}

// offer is a version of the configuration that this node lacks and a peer knows.
type offer struct {
	version uint64
	// held is set if the peer can send it. One that has merely heard of it cannot.
	held bool
	// reads is set if this node reads the store and its calls are not known to fail, fails if they are.
	reads bool
	fails bool
}

// requestVersion is called repeatedly while a peer has a version that this node lacks.
// It starts the fetch, and requests a part again that has not arrived within
// partTimeout.
func (fetcher *fetcher) requestVersion(now time.Time, offer offer) fetchStep {
	fetcher.mutex.Lock()
	defer fetcher.mutex.Unlock()
	if offer.version > fetcher.version {
		fetcher.reset(now, offer.version)
	}
	known := now.Sub(fetcher.startedAt)
	if offer.version < fetcher.version || offer.reads && known < ownReadTime {
		return fetchStep{}
	}
	fetcher.storeFails = offer.fails
	due, tooLarge := now.Sub(fetcher.askedAt) >= partTimeout, fetcher.tooLarge(now)
	var step fetchStep
	if offer.held && due && !tooLarge {
		step = fetcher.nextRequest(now)
	}
	step.readStore = known >= partTimeout || due && tooLarge
	return step
}

// addPart appends a part that arrived and returns the request for the next one, or the
// whole configuration. Parts that are out of order, too large or of an older version are
// ignored; a part of a newer version starts the fetch of that version.
func (fetcher *fetcher) addPart(now time.Time, part *messenger.DefinitionPart) fetchStep {
	fetcher.mutex.Lock()
	defer fetcher.mutex.Unlock()
	if part.Version < fetcher.version || fetcher.version == 0 || part.Size <= 0 || part.Size > maxEncodedBytes {
		return fetchStep{}
	}
	if part.Version > fetcher.version || fetcher.size != 0 && part.Size != fetcher.size {
		fetcher.reset(now, part.Version)
	}
	if part.Offset != len(fetcher.data) || len(fetcher.data)+len(part.Data) > part.Size || len(part.Data) == 0 {
		return fetchStep{}
	}
	fetcher.size = part.Size
	if fetcher.tooLarge(now) {
		return fetchStep{readStore: true}
	}
	fetcher.data = append(fetcher.data, part.Data...)
	if len(fetcher.data) < fetcher.size {
		return fetcher.nextRequest(now)
	}
	whole := fetchStep{encoded: fetcher.data, version: fetcher.version}
	fetcher.data = nil
	return whole
}

// reset discards the parts received and starts the fetch of a version; mutex is held.
func (fetcher *fetcher) reset(now time.Time, version uint64) {
	fetcher.version, fetcher.startedAt, fetcher.askedAt, fetcher.tries = version, now, time.Time{}, 0
	fetcher.data, fetcher.size = nil, 0
}

// tooLarge reports whether the configuration is larger than maxPeerFetchBytes and is for
// now left to the store; mutex is held.
func (fetcher *fetcher) tooLarge(now time.Time) bool {
	return !fetcher.storeFails && fetcher.size > maxPeerFetchBytes && now.Sub(fetcher.startedAt) < storeReadTimeout
}

// nextRequest returns the request for the next part; mutex is held.
func (fetcher *fetcher) nextRequest(now time.Time) fetchStep {
	fetcher.askedAt = now
	fetcher.tries++
	return fetchStep{
		ask:   &messenger.DefinitionAsk{Version: fetcher.version, Offset: len(fetcher.data), ReplyTo: fetcher.replyTo},
		tries: fetcher.tries, known: now.Sub(fetcher.startedAt),
	}
}
