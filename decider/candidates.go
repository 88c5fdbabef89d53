package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// hintFor is how long an expected wait is believed.
const hintFor = 5 * time.Second

// hint is what an owner said of the wait at its shard.
type hint struct {
	wait time.Duration
	at   time.Time
}

// chooser orders the shards that may serve a request.
type chooser struct {
	// hints holds the last word on each shard and class.
	hints map[hintKey]hint
}

type hintKey struct {
	shard messenger.Shard
	class definer.ClassName
}

func newChooser() *chooser { return &chooser{hints: make(map[hintKey]hint)} }

// note takes in what an owner said.
func (chooser *chooser) note(now time.Time, shard messenger.Shard, class definer.ClassName, wait time.Duration) {
	chooser.hints[hintKey{shard: shard, class: class}] = hint{wait: wait, at: now}
}

// wait returns the wait to expect; an old word counts for nothing.
func (chooser *chooser) wait(now time.Time, shard messenger.Shard, class definer.ClassName) time.Duration {
	hint := chooser.hints[hintKey{shard: shard, class: class}]
	if now.Sub(hint.at) > hintFor {
		return 0
	}
	return hint.wait
}

// order returns the shards of each data centre, the own one first. Among many
// shards of one the better of two, which the request's id picks, comes first.
func (chooser *chooser) order(now time.Time, request *request, local definer.DataCentre) []messenger.Shard {
	dataCentres := slices.Clone(request.pool.DataCentres())
	wait := func(shard messenger.Shard) time.Duration { return chooser.wait(now, shard, request.class.Name()) }
	groups := make(map[definer.DataCentre][]messenger.Shard)
	for _, dataCentre := range dataCentres {
		groups[dataCentre] = twoChoices(shardsOf(request.pool, dataCentre), request.id, wait)
	}
	slices.SortStableFunc(dataCentres, func(a, b definer.DataCentre) int {
		return cmp.Or(cmp.Compare(far(a, local), far(b, local)), cmp.Compare(wait(groups[a][0]), wait(groups[b][0])))
	})
	var ordered []messenger.Shard
	for _, dataCentre := range dataCentres {
		ordered = append(ordered, groups[dataCentre]...)
	}
	return ordered
}

// twoChoices moves two shards that the request's id picks to the front, the one
// with the shorter wait first.
func twoChoices(shards []messenger.Shard, id definer.RequestID, wait func(messenger.Shard) time.Duration) []messenger.Shard {
	if len(shards) < 2 {
		return shards
	}
	hash := xxhash.Sum64String(string(id))
	count := uint64(len(shards))
	first := int(hash % count)
	second := int((hash%count + 1 + (hash>>32)%(count-1)) % count)
	a, b := shards[first], shards[second]
	if wait(b) < wait(a) {
		a, b = b, a
	}
	ordered := []messenger.Shard{a, b}
	for _, shard := range shards {
		if shard != a && shard != b {
			ordered = append(ordered, shard)
		}
	}
	return ordered
}

func far(dataCentre, local definer.DataCentre) int {
	if dataCentre == local {
		return 0
	}
	return 1
}
