package decider

import (
	"limpetcleat/admitter"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// withinRate counts a new request against its organisation's rate at this entry
// VM. It returns false with the refusal when the rate is exceeded.
func (requester *requester) withinRate(request *request) (Refusal, bool) {
	organisation, ok := requester.configuration.Organisation(request.organisation)
	if !ok {
		return Refusal{}, true
	}
	allowed, wait := requester.rates.Allow(requester.now, organisation)
	if allowed {
		return Refusal{}, true
	}
	return refusalFor(messenger.RateLimited, definer.NotRun, wait), false
}

// earlyRejection judges a request by the expected wait that its shard's owner
// reported last. It returns true with the verdict when an ask would be refused.
func (requester *requester) earlyRejection(request *request) (admitter.Verdict, bool) {
	verdict := requester.admitter.Decide(requester.now, admitter.Request{
		Shard:    request.shard,
		Class:    request.class,
		Arrival:  request.arrived,
		Deadline: request.deadline,
	})
	return verdict, !verdict.Admitted()
}

// recordExpectedWait records the expected wait that the present owner of a
// shard sent with an answer. The answer of a member that grants in an emergency
// in the owner's place is ignored, because that member does not know the queue.
func (requester *requester) recordExpectedWait(from definer.Member, answer *messenger.GrantAnswer) {
	request, ok := requester.requests[answer.Request]
	present := requester.roster.tenure(answer.Shard)
	if !ok || present.member != from {
		return
	}
	if requester.hintTenures[answer.Shard] != present {
		requester.admitter.Forget(answer.Shard)
		requester.hintTenures[answer.Shard] = present
	}
	requester.admitter.RecordWait(requester.now, answer.Shard, request.class.Name(), answer.ExpectedWait)
}

// forgetHints drops the expected waits of shards whose owner has changed.
func (requester *requester) forgetHints() {
	for shard, heard := range requester.hintTenures {
		if heard != requester.roster.tenure(shard) {
			requester.admitter.Forget(shard)
			delete(requester.hintTenures, shard)
		}
	}
}
