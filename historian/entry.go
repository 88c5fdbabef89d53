package historian

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// keyBytes is the length of the hash in a key.
const keyBytes = 16

// Entry is the store's entry of a software version.
type Entry struct {
	Service definer.PoolName
	Version definer.SoftwareVersion
	// GoneFor is for how long no upstream of the version had been listed when the entry was written; 0 means
	// that one was. Streams may begin at the version only then.
	GoneFor time.Duration
	// Settled is set once streams may begin at the version also on nodes that have just learned of it.
	Settled bool
	// Revision is that of the entry's last write.
	Revision uint64
}

// Key returns the name of the entry. It is the same for all nodes, and only contains letters and digits.
func (entry *Entry) Key() string {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(entry.Service)))
	sum := sha256.Sum256(append(append(data, entry.Service...), entry.Version...))
	return hex.EncodeToString(sum[:keyBytes])
}

// Change is one change of an entry.
type Change struct {
	// Key is the name of the entry; if Removed is set, Entry is not read.
	Key     string
	Entry   Entry
	Removed bool
}

// known is an entry as this node knows it.
type known struct {
	Entry
	// learnedAt is when this node received the entry with this revision.
	learnedAt time.Time
	// settledAt is from when on streams may begin at the version; zero if they always may.
	settledAt time.Time
}

// goneFor returns for how long at least no upstream of the version has been listed, given when one was last
// listed at this node; zero if none was.
func (known *known) goneFor(now, listedAt time.Time) time.Duration {
	since := known.learnedAt
	if listedAt.After(since) {
		return now.Sub(listedAt)
	}
	return known.GoneFor + now.Sub(since)
}

// listedAt returns when a version was last listed by this node; zero if it was not.
func listedAt(now time.Time, versions []registrar.ListedVersion, version definer.SoftwareVersion) time.Time {
	for _, listed := range versions {
		if listed.Version == version {
			return now.Add(-listed.Age)
		}
	}
	return time.Time{}
}
