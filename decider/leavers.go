package decider

import (
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// leavingFor is how long an upstream's own word that it is leaving counts.
const leavingFor = 5 * time.Minute

// refreshEvery is how often marks are looked through.
const refreshEvery = 30 * time.Second

// leavers knows which upstreams get no new work: those that said so themselves
// and those that the platform's list of VMs names. The configuration's own mark
// is the scheduler's matter.
type leavers struct {
	*core
	// marks holds when an upstream last said that it is leaving.
	marks map[definer.UpstreamName]time.Time
	// told holds who last got the word, and when.
	told map[notice]telling
	// refreshed is when marks were last looked through.
	refreshed time.Time
}

// telling is the word of one upstream to the owner of a shard.
type telling struct {
	tenure tenure
	at     time.Time
}

// notice names the word on one upstream to the owner of one shard.
type notice struct {
	shard    messenger.Shard
	upstream definer.UpstreamName
}

func newLeavers(core *core) *leavers {
	return &leavers{core: core, marks: make(map[definer.UpstreamName]time.Time), told: make(map[notice]telling)}
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
	return leavers.listed(upstream)
}

// listed tells whether the platform's list names an upstream as leaving. Only a
// member that holds the platform's watches knows: the list of another is old.
func (leavers *leavers) listed(upstream *definer.Upstream) bool {
	if !leavers.holding {
		return false
	}
	for _, vm := range leavers.roster.leavers {
		if vm.Name == string(upstream.Name()) || host(vm.Address) == host(upstream.Address()) {
			return true
		}
	}
	return false
}

// refresh tells the owners again now and then.
func (leavers *leavers) refresh() {
	if leavers.now.Sub(leavers.refreshed) >= refreshEvery {
		leavers.refreshed = leavers.now
		leavers.tellOwners()
	}
}

// markListed marks what the platform's list names, so that the owners of the
// upstreams' shards, who need not see the list, hear of it as well.
func (leavers *leavers) markListed() {
	if !leavers.holding || len(leavers.roster.leavers) == 0 {
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

// tellOwners passes each mark on to the present owner of the upstream's shard,
// once in each tenure, and again before the owner forgets it.
func (leavers *leavers) tellOwners() {
	if leavers.configuration == nil {
		return
	}
	leavers.markListed()
	for _, name := range sortedKeys(leavers.marks) {
		if leavers.now.Sub(leavers.marks[name]) > leavingFor {
			delete(leavers.marks, name)
			continue
		}
		for _, shard := range leavers.shardsWith(name) {
			vm, ok := leavers.roster.owner(shard)
			tenure := leavers.roster.tenure(shard)
			key := notice{shard: shard, upstream: name}
			last := leavers.told[key]
			recent := leavers.now.Sub(last.at) < leavingFor/2
			if !ok || vm == leavers.self.VM || last.tenure == tenure && recent {
				continue
			}
			leavers.told[key] = telling{tenure: tenure, at: leavers.now}
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
