package versioner

import (
	"time"

	"limpetcleat/definer"
)

// Origin is where a stream began.
type Origin struct {
	Service definer.PoolName
	Version definer.SoftwareVersion
}

// record is the known origin of a stream.
type record struct {
	origin Origin
	// expiresAt is when the stream can no longer be taken up.
	expiresAt time.Time
}

func (record *record) expired(now time.Time) bool { return !record.expiresAt.After(now) }
