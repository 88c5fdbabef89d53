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
	// whose shard it does not own.
	emergencySlots = 1
	// emergencyFor is how long such a grant counts if it is not released.
	emergencyFor = time.Minute
)

// emergency grants slots to protected requests whose owner does not answer. The
// slots come from a small fixed allowance that is independent of the owner's
// state.
type emergency struct {
	*core
	ledgers map[messenger.Shard]*ledger
	// issued counts the grants; their ids contain it.
	issued uint64
}

func newEmergency(core *core) *emergency {
	return &emergency{core: core, ledgers: make(map[messenger.Shard]*ledger)}
}

// handleAsk grants a slot if one is left. Otherwise it sends no answer, since
// the owner is still being asked.
func (emergency *emergency) handleAsk(from definer.Member, ask *messenger.GrantAsk, leavers *leavers, limits *limits) {
	if emergency.configuration == nil || ask.Shard.DataCentre != emergency.dataCentre {
		return
	}
	class, known := emergency.configuration.Class(ask.Class)
	pool, exists := emergency.configuration.Pool(ask.Shard.Pool)
	if !known || !exists || !class.Protected() {
		return
	}
	ledger := emergency.ledger(ask.Shard)
	for _, grant := range ledger.grantsOf(from) {
		if record := ledger.grants[grant]; record.request == ask.Request && record.attempt == ask.Attempt {
			emergency.answer(from, ask, grant, record.upstream, class)
			return
		}
	}
	for _, upstream := range leavers.serving(upstreamsOf(pool, ask.Shard)) {
		// What other nodes send to a rate-limited upstream is not known here.
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
	emergency.ledger(ask.Shard).add(grant, grantRecord{entry: from, request: ask.Request, attempt: ask.Attempt, upstream: upstream, since: emergency.now})
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

// ledger returns a shard's ledger after removing the expired grants.
func (emergency *emergency) ledger(shard messenger.Shard) *ledger {
	ledger, ok := emergency.ledgers[shard]
	if !ok {
		ledger = newLedger()
		emergency.ledgers[shard] = ledger
	}
	for _, grant := range sortedKeys(ledger.grants) {
		if emergency.now.Sub(ledger.grants[grant].since) > emergencyFor {
			delete(ledger.grants, grant)
		}
	}
	return ledger
}

// release removes a grant that this node gave.
func (emergency *emergency) release(release *messenger.GrantRelease) {
	if ledger, ok := emergency.ledgers[release.Shard]; ok {
		delete(ledger.grants, release.Grant)
	}
}

// forgetMembers removes the grants of members that are gone.
func (emergency *emergency) forgetMembers(gone []definer.Member) {
	for _, ledger := range emergency.ledgers {
		for _, member := range gone {
			for _, grant := range ledger.grantsOf(member) {
				delete(ledger.grants, grant)
			}
		}
	}
}
