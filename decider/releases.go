package decider

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	releaseComponent = "release"
	// firstReleaseRetry and maxReleaseRetry bound the time until a release that was not acknowledged is
	// sent again, which doubles. Owners acknowledge every expiryInterval.
	firstReleaseRetry = 3 * expiryInterval
	maxReleaseRetry   = 8 * firstReleaseRetry
	// maxPendingReleases bounds the releases that are kept; later ones are sent once, and reports make
	// good their loss.
	maxPendingReleases = 4096
)

// pendingRelease is a release that its receiver has not acknowledged.
type pendingRelease struct {
	message *messenger.GrantRelease
	sentAt  time.Time
	// retryAt is when the release is sent again, and gap the time from the latest send to it.
	retryAt time.Time
	gap     time.Duration
}

// releaseKey identifies a release to one member.
type releaseKey struct {
	to    definer.VM
	grant definer.GrantID
}

// releases sends releases of grants until they are acknowledged. A release may arrive more than once,
// which has no further effect.
type releases struct {
	*core
	pending map[releaseKey]*pendingRelease
	// order holds the keys of pending in the order in which they were first sent.
	order []releaseKey
}

func newReleases(core *core) *releases {
	return &releases{core: core, pending: make(map[releaseKey]*pendingRelease)}
}

// sendRelease sends a release to a member.
func (releases *releases) sendRelease(to definer.VM, message *messenger.GrantRelease) {
	releases.send(to, message)
	if to == releases.self.VM || len(releases.pending) >= maxPendingReleases {
		return
	}
	if len(releases.pending) == 0 {
		releases.setTimer(releaseComponent, "", firstReleaseRetry)
	}
	key := releaseKey{to: to, grant: message.Grant}
	if _, known := releases.pending[key]; !known {
		releases.order = append(releases.order, key)
	}
	releases.pending[key] = &pendingRelease{message: message, sentAt: releases.now, retryAt: releases.now.Add(firstReleaseRetry), gap: firstReleaseRetry}
}

// acknowledge forgets the releases that a member has received.
func (releases *releases) acknowledge(from definer.VM, grants []definer.GrantID) {
	for _, grant := range grants {
		delete(releases.pending, releaseKey{to: from, grant: grant})
	}
}

// forgetMembers forgets the releases to members that are gone.
func (releases *releases) forgetMembers(gone []definer.Member) {
	for _, member := range gone {
		maps.DeleteFunc(releases.pending, func(key releaseKey, _ *pendingRelease) bool { return key.to == member.VM })
	}
}

// retry sends those releases again that are due. Those older than reportInterval are forgotten, as a report
// has been sent since: nodes of an earlier version acknowledge nothing.
func (releases *releases) retry() {
	remaining := releases.order[:0]
	for _, key := range releases.order {
		release, ok := releases.pending[key]
		if !ok {
			continue
		}
		if releases.now.Sub(release.sentAt) > reportInterval {
			delete(releases.pending, key)
			continue
		}
		remaining = append(remaining, key)
		if !releases.now.Before(release.retryAt) {
			releases.send(key.to, release.message)
			release.gap = min(2*release.gap, maxReleaseRetry)
			release.retryAt = releases.now.Add(release.gap)
		}
	}
	releases.order = remaining
	if len(releases.pending) > 0 {
		releases.setTimer(releaseComponent, "", firstReleaseRetry)
	}
}

// acknowledgements collects the releases that this node has received until they are acknowledged, one
// message for each member and shard.
type acknowledgements struct {
	*core
	received map[acknowledgementKey][]definer.GrantID
}

// acknowledgementKey identifies the sender of releases and their shard.
type acknowledgementKey struct {
	from  definer.VM
	shard messenger.Shard
}

func newAcknowledgements(core *core) *acknowledgements {
	return &acknowledgements{core: core, received: make(map[acknowledgementKey][]definer.GrantID)}
}

// add records a release that was received.
func (acknowledgements *acknowledgements) add(from definer.VM, release *messenger.GrantRelease) {
	if from == acknowledgements.self.VM {
		return
	}
	key := acknowledgementKey{from: from, shard: release.Shard}
	acknowledgements.received[key] = append(acknowledgements.received[key], release.Grant)
}

// flush acknowledges the releases, in the order of their senders and shards.
func (acknowledgements *acknowledgements) flush() {
	keys := slices.SortedFunc(maps.Keys(acknowledgements.received), func(left, right acknowledgementKey) int {
		return cmp.Or(cmp.Compare(left.from, right.from), compareShards(left.shard, right.shard))
	})
	for _, key := range keys {
		acknowledgements.send(key.from, &messenger.GrantAnswer{Shard: key.shard, Released: acknowledgements.received[key]})
	}
	clear(acknowledgements.received)
}
