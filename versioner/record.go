package versioner

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
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

// ownStream is a stream that this node began or continues.
type ownStream struct {
	record *record
	// holders are the holders to which the origin was reported; none while the service had one version.
	holders []exchanger.Peer
}

func (record *record) expired(now time.Time) bool { return !record.expiresAt.After(now) }
