package scheduler

import (
	"math/bits"
	"slices"

	"limpetcleat/definer"
)

// wordBits is the number of bits in a word of a mask.
const wordBits = 64

// upstreamSet is the set of upstreams that serve a model and are not excluded.
type upstreamSet struct {
	key string
	// model and excluded determine key.
	model    string
	excluded []definer.UpstreamName
	// upstreams is sorted by name.
	upstreams []*upstream
	// mask has the bits of the upstreams in the set.
	mask []uint64
	// limit and unprotectedLimit are the sums over the upstreams in the set.
	limit            int
	unprotectedLimit int
}

func newUpstreamSet(key string, table []*upstream, width int) *upstreamSet {
	upstreamSet := &upstreamSet{key: key, upstreams: table, mask: make([]uint64, width)}
	for _, upstream := range table {
		upstreamSet.mask[upstream.position/wordBits] |= 1 << (upstream.position % wordBits)
	}
	upstreamSet.recount()
	return upstreamSet
}

// recount recomputes the sums after a limit changed.
func (upstreamSet *upstreamSet) recount() {
	upstreamSet.limit, upstreamSet.unprotectedLimit = 0, 0
	for _, upstream := range upstreamSet.upstreams {
		upstreamSet.limit += upstream.limit
		upstreamSet.unprotectedLimit += upstream.unprotectedLimit
	}
}

// shareOf returns the ratio of the slots of this set to those of the other.
func (upstreamSet *upstreamSet) shareOf(other *upstreamSet) float64 {
	return float64(upstreamSet.limit) / float64(max(other.limit, 1))
}

// acceptsRequests reports whether an upstream of the set may be sent requests, with a free
// slot or without.
func (upstreamSet *upstreamSet) acceptsRequests() bool {
	return slices.ContainsFunc(upstreamSet.upstreams, (*upstream).acceptsRequests)
}

// intersects reports whether an upstream of the set is in the mask.
func (upstreamSet *upstreamSet) intersects(mask []uint64) bool {
	for index, word := range upstreamSet.mask {
		if word&mask[index] != 0 {
			return true
		}
	}
	return false
}

// overlap returns the part of this set's upstreams that are also in the other.
func (upstreamSet *upstreamSet) overlap(other *upstreamSet) float64 {
	if upstreamSet == other {
		return 1
	}
	if len(upstreamSet.upstreams) == 0 {
		return 0
	}
	common := 0
	for index, word := range upstreamSet.mask {
		common += bits.OnesCount64(word & other.mask[index])
	}
	return float64(common) / float64(len(upstreamSet.upstreams))
}
