package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	reportPart = "report"
	// reportEvery is how often an entry VM tells owners what it holds, so that
	// a lost release does not keep a slot for ever.
	reportEvery = 15 * time.Second
)

// membersMoved asks anew where the owner changed and reports what is held.
func (requester *requester) membersMoved() {
	tenures := make(map[messenger.Shard]tenure)
	present := func(shard messenger.Shard) tenure {
		if _, ok := tenures[shard]; !ok {
			tenures[shard] = requester.roster.tenure(shard)
		}
		return tenures[shard]
	}
	for shard := range requester.reported {
		present(shard)
	}
	// Others took this node for dead if its own sequence rose.
	sequence := requester.roster.members[requester.self.VM].Sequence
	missed := requester.sequence != sequence
	requester.sequence = sequence
	for _, shard := range sortedShards(tenures) {
		if missed || requester.reported[shard] != present(shard) {
			requester.report(shard)
		}
	}
	for _, id := range sortedKeys(requester.requests) {
		if request := requester.requests[id]; request.state == asking && request.tenure != present(request.shard) {
			requester.ask(request)
		}
	}
}

// report tells the present owner of a shard every grant of it that is held.
func (requester *requester) report(shard messenger.Shard) {
	requester.reported[shard] = requester.roster.tenure(shard)
	vm, ok := requester.roster.owner(shard)
	if !ok {
		return
	}
	requester.send(vm, &messenger.GrantReport{Shard: shard, Grants: requester.held(shard)})
}

// reportAll is the regular report; a shard of which nothing is held is reported
// once more and then left out.
func (requester *requester) reportAll() {
	for _, shard := range sortedShards(requester.reported) {
		requester.report(shard)
		if len(requester.held(shard)) == 0 {
			delete(requester.reported, shard)
		}
	}
	requester.after(reportPart, "", reportEvery)
}

func (requester *requester) held(shard messenger.Shard) []messenger.HeldGrant {
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

// noteGrant keeps where the grant came from. A present owner that did not give
// it has to be told.
func (requester *requester) noteGrant(request *request, issuer definer.Member) {
	request.issuer = issuer
	present := requester.roster.tenure(request.shard)
	if _, ok := requester.reported[request.shard]; !ok {
		requester.reported[request.shard] = present
	}
	if present.member != issuer {
		requester.report(request.shard)
	}
}

// askNext asks the next in rank in the place of an owner that keeps silent.
func (requester *requester) askNext(request *request) {
	ranked := requester.roster.ranked(request.shard)
	if !request.class.Protected() || request.silent < emergencyAfter || len(ranked) < 2 {
		return
	}
	ask := requester.askFor(request)
	ask.Emergency = true
	requester.send(ranked[1], ask)
}
