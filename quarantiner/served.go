package quarantiner

import (
	"time"

	"limpetcleat/definer"
)

const (
	// servedLife is how long before an end a request must have been served to be cleared of
	// it: one that is asked again and again is on most upstreams that end. It is below the
	// 3 s within which a request that has turned bad must be known.
	servedLife = 2 * time.Second
	// maxServed bounds the requests remembered as served in a servedLife; at 2,100 requests a
	// second and 390 nodes a node serves 11 in that time.
	maxServed = 8192
)

// served remembers the requests that were served of late, in two parts of which the older
// is dropped whole.
type served struct {
	current, previous map[definer.RequestIdentity]time.Time
	// rotated is when the parts changed last.
	rotated time.Time
}

// note takes in that a request was served.
func (served *served) note(now time.Time, identity definer.RequestIdentity) {
	if served.current == nil || now.Sub(served.rotated) >= servedLife {
		served.previous, served.current = served.current, make(map[definer.RequestIdentity]time.Time)
		served.rotated = now
	}
	if len(served.current) < maxServed {
		served.current[identity] = now
	}
}

// since tells whether a request was served in the servedLife before a time, or later.
func (served *served) since(at time.Time, identity definer.RequestIdentity) bool {
	latest, known := served.current[identity]
	if !known {
		latest, known = served.previous[identity]
	}
	return known && at.Sub(latest) < servedLife
}
