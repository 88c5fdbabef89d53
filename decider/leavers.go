package decider

import (
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// leavingFor is how long an upstream's own word that it is leaving counts.
const leavingFor = 5 * time.Minute

// leavers knows which upstreams get no new work: those that said so themselves
// and those that the platform's list of VMs names. The configuration's own mark
// is the scheduler's matter.
type leavers struct {
	*core
	// marks holds when an upstream last said that it is leaving.
	marks map[definer.UpstreamName]time.Time
	// told holds the tenure of the owner that last got the word.
	told map[notice]tenure
}

// notice names the word on one upstream to the owner of one shard.
type notice struct {
	shard    messenger.Shard
	upstream definer.UpstreamName
}

func newLeavers(core *core) *leavers {
	return &leavers{core: core, marks: make(map[definer.UpstreamName]time.Time), told: make(map[notice]tenure)}
}

// mark notes that an upstream said it is leaving.
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
	if at, ok := leavers.marks[upstream.Name()]; ok && leavers.now.Sub(at) <= leavingFor {
		return true
	}
	for _, vm := range leavers.roster.leavers {
		if vm.Name == string(upstream.Name()) || host(vm.Address) == host(upstream.Address()) {
			return true
		}
	}
	return false
}

// tellOwners passes each mark on to the present owner of the upstream's shard,
// once in each tenure.
func (leavers *leavers) tellOwners() {
	for _, name := range sortedKeys(leavers.marks) {
		if leavers.now.Sub(leavers.marks[name]) > leavingFor {
			delete(leavers.marks, name)
			continue
		}
		for _, shard := range leavers.shardsWith(name) {
			vm, ok := leavers.roster.owner(shard)
			tenure := leavers.roster.tenure(shard)
			key := notice{shard: shard, upstream: name}
			if !ok || vm == leavers.self.VM || leavers.told[key] == tenure {
				continue
			}
			leavers.told[key] = tenure
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
