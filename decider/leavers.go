package decider

import (
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// leavingMarkLifetime is how long an upstream's announcement that it is leaving
// counts.
const leavingMarkLifetime = 5 * time.Minute

// resendInterval is the time between two rounds of notices to owners.
const resendInterval = 30 * time.Second

// leavers tracks the upstreams that get no new work because they announced that
// they are leaving, or because the platform's list of VMs says so. The mark in
// the configuration is handled by the scheduler.
type leavers struct {
	*core
	// marks holds when an upstream was last reported to be leaving.
	marks map[definer.UpstreamName]time.Time
	// sentNotices holds the last notice sent for each upstream and shard.
	sentNotices map[noticeKey]sentNotice
	// refreshed is when the owners were last sent notices by refresh.
	refreshed time.Time
}

// sentNotice is a notice on one upstream as it was sent to the owner of a
// shard.
type sentNotice struct {
	tenure tenure
	at     time.Time
}

// noticeKey identifies the notices on one upstream to the owner of one shard.
type noticeKey struct {
	shard    messenger.Shard
	upstream definer.UpstreamName
}

func newLeavers(core *core) *leavers {
	return &leavers{core: core, marks: make(map[definer.UpstreamName]time.Time), sentNotices: make(map[noticeKey]sentNotice)}
}

// mark records that an upstream is leaving.
func (leavers *leavers) mark(name definer.UpstreamName) {
	if _, known := leavers.marks[name]; !known {
		leavers.log(EventUpstreamLeaving, "upstream", name)
	}
	leavers.marks[name] = leavers.now
}

// serving returns the upstreams that may get new work.
func (leavers *leavers) serving(upstreams []*definer.Upstream) []*definer.Upstream {
	var serving []*definer.Upstream
	for _, upstream := range upstreams {
		if !leavers.leaving(upstream) {
			serving = append(serving, upstream)
		}
	}
	return serving
}

func (leavers *leavers) leaving(upstream *definer.Upstream) bool {
	if at, ok := leavers.marks[upstream.Name()]; ok && leavers.now.Sub(at) <= leavingMarkLifetime {
		return true
	}
	return leavers.listed(upstream)
}

// listed reports whether the platform's list names an upstream as leaving. Only
// a member that watches the platform can tell: the list of any other is out of
// date.
func (leavers *leavers) listed(upstream *definer.Upstream) bool {
	if !leavers.watching {
		return false
	}
	for _, vm := range leavers.roster.leavingVMs {
		if vm.Name == string(upstream.Name()) || host(vm.Address) == host(upstream.Address()) {
			return true
		}
	}
	return false
}

// refresh sends the owners their notices again at each resendInterval.
func (leavers *leavers) refresh() {
	if leavers.now.Sub(leavers.refreshed) >= resendInterval {
		leavers.refreshed = leavers.now
		leavers.tellOwners()
	}
}

// markListed marks the upstreams that the platform's list names as leaving, so
// that the owners of their shards, which may not see the list, are told as
// well.
func (leavers *leavers) markListed() {
	if !leavers.watching || len(leavers.roster.leavingVMs) == 0 {
		return
	}
	for _, pool := range leavers.configuration.Pools() {
		for _, upstream := range pool.Upstreams() {
			if leavers.listed(upstream) {
				leavers.mark(upstream.Name())
			}
		}
	}
}

// tellOwners sends each mark to the present owner of the upstream's shard, once
// in each tenure, and again before the owner's mark expires.
func (leavers *leavers) tellOwners() {
	if leavers.configuration == nil {
		return
	}
	leavers.markListed()
	for _, name := range sortedKeys(leavers.marks) {
		if leavers.now.Sub(leavers.marks[name]) > leavingMarkLifetime {
			delete(leavers.marks, name)
			continue
		}
		for _, shard := range leavers.shardsWith(name) {
			vm, ok := leavers.roster.owner(shard)
			tenure := leavers.roster.tenure(shard)
			key := noticeKey{shard: shard, upstream: name}
			last := leavers.sentNotices[key]
			recent := leavers.now.Sub(last.at) < leavingMarkLifetime/2
			if !ok || vm == leavers.self.VM || last.tenure == tenure && recent {
				continue
			}
			leavers.sentNotices[key] = sentNotice{tenure: tenure, at: leavers.now}
			leavers.send(vm, &messenger.UpstreamNotice{Shard: shard, Upstream: name})
		}
	}
}

// shardsWith returns the shards that an upstream belongs to.
func (leavers *leavers) shardsWith(name definer.UpstreamName) []messenger.Shard {
	var shards []messenger.Shard
	for _, pool := range leavers.configuration.Pools() {
		for _, upstream := range pool.Upstreams() {
			if upstream.Name() == name {
				count := len(shardsOf(pool, upstream.DataCentre()))
				shards = append(shards, messenger.Shard{DataCentre: upstream.DataCentre(), Pool: pool.Name(), Index: shardIndex(name, count)})
			}
		}
	}
	return shards
}

// host returns an address without its port.
func host(address string) string {
	if end := strings.LastIndexByte(address, ':'); end >= 0 {
		return strings.Trim(address[:end], "[]")
	}
	return address
}
