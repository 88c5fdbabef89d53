package quarantiner

import (
	"time"

	"limpetcleat/definer"
)

const (
	// servedWindow is how long before a crash a request must have been served to be cleared of
	// it: a request that is sent again and again is on most upstreams that crash. It is below the
	// 3 s within which a request that has begun to cause crashes must be found.
	servedWindow = 2 * time.Second
	// maxServed bounds the requests remembered for one servedWindow. At 2,100 requests a second
	// and 390 nodes, a node serves 11 requests in that time.
	maxServed = 8192
)

// served remembers the recently served requests in two generations; the older one is dropped as a
// whole.
type served struct {
	current, previous map[definer.RequestIdentity]time.Time
	// rotated is when a new generation was started last.
	rotated time.Time
}

// note records that a request was served.
func (served *served) note(now time.Time, identity definer.RequestIdentity) {
	if served.current == nil || now.Sub(served.rotated) >= servedWindow {
		served.previous, served.current = served.current, make(map[definer.RequestIdentity]time.Time)
		served.rotated = now
	}
	if len(served.current) < maxServed {
		served.current[identity] = now
	}
}

// clears reports whether a request was served less than a servedWindow before the time, or later.
func (served *served) clears(at time.Time, identity definer.RequestIdentity) bool {
	latest, known := served.current[identity]
	if !known {
		latest, known = served.previous[identity]
	}
	return known && at.Sub(latest) < servedWindow
}
