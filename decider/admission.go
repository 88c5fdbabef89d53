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

// hear notes the wait that an owner told with an answer.
func (requester *requester) hear(answer *messenger.GrantAnswer) {
	if request, ok := requester.requests[answer.Request]; ok {
		requester.admitter.Hear(requester.now, answer.Shard, request.class.Name(), answer.ExpectedWait)
	}
}
