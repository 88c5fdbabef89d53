package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	reportComponent = "report"
	// reportInterval is how often an entry VM reports to owners the grants that
	// it holds, so that a lost release does not block a slot for ever.
	reportInterval = 15 * time.Second
)

// handleMembersChanged sends the asks again whose owner changed and reports the
// held grants to new owners.
func (requester *requester) handleMembersChanged() {
	tenures := make(map[messenger.Shard]tenure)
	present := func(shard messenger.Shard) tenure {
		if _, ok := tenures[shard]; !ok {
			tenures[shard] = requester.roster.tenure(shard)
		}
		return tenures[shard]
	}
	for shard := range requester.reportedTenures {
		present(shard)
	}
	// If this node's own sequence number rose, others had declared it dead.
	sequence := requester.roster.members[requester.self.VM].Sequence
	missed := requester.reportedSequence != sequence
	requester.reportedSequence = sequence
	for _, shard := range sortedShards(tenures) {
		if missed || requester.reportedTenures[shard] != present(shard) {
			requester.sendReport(shard)
		}
	}
	for _, id := range sortedKeys(requester.requests) {
		if request := requester.requests[id]; request.state == asking && request.tenure != present(request.shard) {
			requester.sendAsk(request)
		}
	}
}

// sendReport reports to the present owner of a shard every grant of the shard
// that this node holds.
func (requester *requester) sendReport(shard messenger.Shard) {
	requester.reportedTenures[shard] = requester.roster.tenure(shard)
	vm, ok := requester.roster.owner(shard)
	if !ok {
		return
	}
	requester.send(vm, &messenger.GrantReport{Shard: shard, Grants: requester.heldGrants(shard)})
}

// sendReports sends the periodic reports. A shard of which no grant is held is
// reported once more and then left out.
func (requester *requester) sendReports() {
	for _, shard := range sortedShards(requester.reportedTenures) {
		requester.sendReport(shard)
		if len(requester.heldGrants(shard)) == 0 {
			delete(requester.reportedTenures, shard)
		}
	}
	requester.setTimer(reportComponent, "", reportInterval)
}

func (requester *requester) heldGrants(shard messenger.Shard) []messenger.HeldGrant {
	var held []messenger.HeldGrant
	for _, id := range sortedKeys(requester.requests) {
		request := requester.requests[id]
		if request.shard != shard || request.grant == "" {
			continue
		}
		held = append(held, messenger.HeldGrant{
			Grant:        request.grant,
			Request:      request.id,
			Attempt:      request.attempt,
			Class:        request.class.Name(),
			Organisation: request.organisation,
			Upstream:     upstreamName(request.upstream),
			Age:          requester.now.Sub(request.attemptStarted),
			Tokens:       request.delivered,
		})
	}
	return held
}

// recordGrant records which member issued the request's grant. A present owner
// that did not issue it is sent a report.
func (requester *requester) recordGrant(request *request, issuer definer.Member) {
	request.issuer = issuer
	present := requester.roster.tenure(request.shard)
	if _, ok := requester.reportedTenures[request.shard]; !ok {
		requester.reportedTenures[request.shard] = present
	}
	if present.member != issuer {
		requester.sendReport(request.shard)
	}
}

// askSecondRanked sends an emergency ask to the member that ranks second, in
// place of an owner that does not answer.
func (requester *requester) askSecondRanked(request *request) {
	ranked := requester.roster.ranked(request.shard)
	if !request.class.Protected() || request.unansweredAsks < emergencyAfterAsks || len(ranked) < 2 {
		return
	}
	ask := requester.newGrantAsk(request)
	ask.Emergency = true
	requester.send(ranked[1], ask)
}
