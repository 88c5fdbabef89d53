package decider

import (
	"fmt"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// emergencySlots is how many grants a node gives at once for an upstream
	// that it does not own.
	emergencySlots = 1
	// emergencyFor is how long such a grant counts if nobody gives it back.
	emergencyFor = time.Minute
)

// emergency grants slots to protected requests whose owner is silent, out of a
// small allowance that does not depend on what the owner knows.
type emergency struct {
	*core
	ledgers map[messenger.Shard]*ledger
	// issued counts the grants, to name them.
	issued uint64
}

func newEmergency(core *core) *emergency {
	return &emergency{core: core, ledgers: make(map[messenger.Shard]*ledger)}
}

// ask grants a slot if one is left. Otherwise it gives no answer, for the owner
// is still being asked.
func (emergency *emergency) ask(from definer.Member, ask *messenger.GrantAsk, leavers *leavers, limits *limits) {
	if emergency.configuration == nil || ask.Shard.DataCentre != emergency.dataCentre {
		return
	}
	class, known := emergency.configuration.Class(ask.Class)
	pool, exists := emergency.configuration.Pool(ask.Shard.Pool)
	if !known || !exists || !class.Protected() {
		return
	}
	ledger := emergency.ledger(ask.Shard)
	for _, grant := range ledger.of(from) {
		if issue := ledger.issues[grant]; issue.request == ask.Request && issue.attempt == ask.Attempt {
			emergency.answer(from, ask, grant, issue.upstream, class)
			return
		}
	}
	for _, upstream := range leavers.serving(upstreamsOf(pool, ask.Shard)) {
		// What others send to one with a limit is not known here.
		usable := !upstream.Leaving() && !limits.isLimited(upstream.Name()) && upstream.Serves(ask.Model) && !slices.Contains(ask.Exclude, upstream.Name())
		if usable && ledger.running(upstream.Name()) < emergencySlots {
			emergency.grant(from, ask, upstream.Name(), class)
			return
		}
	}
}

func (emergency *emergency) grant(from definer.Member, ask *messenger.GrantAsk, upstream definer.UpstreamName, class *definer.Class) {
	emergency.issued++
	grant := definer.GrantID(fmt.Sprintf("%s.%d.%s.%d.e%d", emergency.self.VM, emergency.self.Incarnation, ask.Shard.Pool, ask.Shard.Index, emergency.issued))
	emergency.ledger(ask.Shard).add(grant, issue{entry: from, request: ask.Request, attempt: ask.Attempt, upstream: upstream, since: emergency.now})
	emergency.log(EventEmergencyGrant, "grant", grant, "upstream", upstream)
	emergency.answer(from, ask, grant, upstream, class)
}

func (emergency *emergency) answer(to definer.Member, ask *messenger.GrantAsk, grant definer.GrantID, upstream definer.UpstreamName, class *definer.Class) {
	emergency.send(to.VM, &messenger.GrantAnswer{
		Shard:       ask.Shard,
		Request:     ask.Request,
		Attempt:     ask.Attempt,
		Grant:       grant,
		Upstream:    upstream,
		Priority:    class.Tier(),
		Preemptible: class.Preemptible(),
	})
}

// ledger returns a shard's ledger without the grants that no longer count.
func (emergency *emergency) ledger(shard messenger.Shard) *ledger {
	ledger, ok := emergency.ledgers[shard]
	if !ok {
		ledger = newLedger()
		emergency.ledgers[shard] = ledger
	}
	for _, grant := range sortedKeys(ledger.issues) {
		if emergency.now.Sub(ledger.issues[grant].since) > emergencyFor {
			delete(ledger.issues, grant)
		}
	}
	return ledger
}

// release takes back a grant that this node gave.
func (emergency *emergency) release(release *messenger.GrantRelease) {
	if ledger, ok := emergency.ledgers[release.Shard]; ok {
		delete(ledger.issues, release.Grant)
	}
}

// forget takes back the grants of members that are gone.
func (emergency *emergency) forget(gone []definer.Member) {
	for _, ledger := range emergency.ledgers {
		for _, member := range gone {
			for _, grant := range ledger.of(member) {
				delete(ledger.issues, grant)
			}
		}
	}
}
