package decider

import (
	"limpetcleat/admitter"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// withinRate counts a new request against its organisation's rate at this
// entry VM, and returns the refusal when it is above.
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

// hopeless judges a request by what its shard's owner said last. It returns
// the verdict, and true when there is no use in asking.
func (requester *requester) hopeless(request *request) (admitter.Verdict, bool) {
	verdict := requester.admitter.Judge(requester.now, admitter.Request{
		Shard:    request.shard,
		Class:    request.class,
		Arrival:  request.arrived,
		Deadline: request.deadline,
	})
	return verdict, !verdict.Admitted()
}

// hear notes the wait that the present owner of a shard told with an answer. A
// member that grants in its place knows nothing of the queue.
func (requester *requester) hear(from definer.Member, answer *messenger.GrantAnswer) {
	request, ok := requester.requests[answer.Request]
	present := requester.roster.tenure(answer.Shard)
	if !ok || present.member != from {
		return
	}
	if requester.hinted[answer.Shard] != present {
		requester.admitter.Forget(answer.Shard)
		requester.hinted[answer.Shard] = present
	}
	requester.admitter.Hear(requester.now, answer.Shard, request.class.Name(), answer.ExpectedWait)
}

// forgetHints drops what was heard of shards whose owner changed.
func (requester *requester) forgetHints() {
	for shard, heard := range requester.hinted {
		if heard != requester.roster.tenure(shard) {
			requester.admitter.Forget(shard)
			delete(requester.hinted, shard)
		}
	}
}
