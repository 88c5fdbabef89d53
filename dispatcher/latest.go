package dispatcher

import (
	"sync"
	"time"

	"limpetcleat/definer"
)

// announceEvery is how often a limit that stays as it is is announced: others may have taken
// it for gone.
const announceEvery = time.Second

// limit is one that was announced, and when.
type limit struct {
	limit definer.RateLimit
	at    time.Time
}

// latest holds the limits that were announced last. It is safe for concurrent use.
type latest struct {
	// mutex guards limits; no other lock is taken under it.
	mutex sync.Mutex
	// limits holds the upstreams that have one.
	limits map[definer.UpstreamName]limit
}

func newLatest() *latest { return &latest{limits: make(map[definer.UpstreamName]limit)} }

// replace keeps the limit of an upstream and tells whether it is to be announced.
func (latest *latest) replace(now time.Time, upstream definer.UpstreamName, named definer.RateLimit) bool {
	latest.mutex.Lock()
	defer latest.mutex.Unlock()
	before, known := latest.limits[upstream]
	if _, limited := named.PerSecond(); !limited {
		delete(latest.limits, upstream)
		return known
	}
	if known && before.limit == named && now.Sub(before.at) < announceEvery {
		return false
	}
	latest.limits[upstream] = limit{limit: named, at: now}
	return true
}
