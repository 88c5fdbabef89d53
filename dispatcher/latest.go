package dispatcher

import (
	"sync"
	"time"

	"limpetcleat/definer"
)

// announceInterval is the interval at which an unchanged limit is announced again: other nodes
// may have let it expire.
const announceInterval = time.Second

// announcedLimit is a limit and the time at which it was last announced.
type announcedLimit struct {
	limit       definer.RateLimit
	announcedAt time.Time
}

// limitCache holds the limit last announced for each upstream. It is safe for concurrent use.
type limitCache struct {
	// mutex guards limits; no other lock is acquired while it is held.
	mutex sync.Mutex
	// limits has an entry for each upstream with a limit.
	limits map[definer.UpstreamName]announcedLimit
}

func newLimitCache() *limitCache {
	return &limitCache{limits: make(map[definer.UpstreamName]announcedLimit)}
}

// replace stores the limit of an upstream and reports whether it must be announced: it is new,
// changed or lifted, or was last announced announceInterval ago.
func (limitCache *limitCache) replace(now time.Time, upstream definer.UpstreamName, limit definer.RateLimit) bool {
	limitCache.mutex.Lock()
	defer limitCache.mutex.Unlock()
	before, known := limitCache.limits[upstream]
	if _, limited := limit.PerSecond(); !limited {
		delete(limitCache.limits, upstream)
		return known
	}
	if known && before.limit == limit && now.Sub(before.announcedAt) < announceInterval {
		return false
	}
	limitCache.limits[upstream] = announcedLimit{limit: limit, announcedAt: now}
	return true
}
