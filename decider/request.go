package decider

import (
	"fmt"
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
)

// requestState is what a request is waiting for.
type requestState int

const (
	// claiming requests wait for their claim on a key.
	claiming requestState = iota
	// asking requests wait for the grant of a slot.
	asking
	// forwarding requests wait for the process that their key is bound to.
	forwarding
	// settling requests wait until it is known whether they are held off.
	settling
	// running requests have a running attempt.
	running
)

// request is one caller's request that has no final answer yet.
type request struct {
	id           definer.RequestID
	organisation definer.OrganisationName
	properties   matcher.Properties
	key          string
	bodyHash     string
	identity     definer.RequestIdentity
	prefix       uint64
	arrived      time.Time
	// deadline is zero when there is none.
	deadline time.Time
	rule     *definer.Rule
	class    *definer.Class
	pool     *definer.Pool
	state    requestState
	// claimed reports that the request holds the claim on its key.
	claimed bool
	// startBy is the time by which a claimed request must have started; zero
	// means no bound.
	startBy time.Time
	// claimOutcome is the outcome to report for a request whose claim was
	// refused; otherwise empty.
	claimOutcome definer.Outcome
	// offeredKey is a key that the caller may use in place of a refused one.
	offeredKey string
	// answer is the whole answer of the last attempt, if it is kept.
	answer *StoredAnswer
	// attempt numbers the asks and attempts, from 1.
	attempt int
	// shard is the shard asked last; untriedShards are those not asked yet.
	shard         messenger.Shard
	untriedShards []messenger.Shard
	// tenure is the tenure of the owner asked last.
	tenure tenure
	// unansweredAsks counts the asks since the owner answered last.
	unansweredAsks int
	// grant is set while the request holds a slot; issuer is the member that
	// granted it.
	grant  definer.GrantID
	issuer definer.Member
	// upstream is that of the running or last attempt.
	upstream *definer.Upstream
	// excluded lists upstreams that failed this request.
	excluded []definer.UpstreamName
	// mayHaveRun reports that some attempt may have run.
	mayHaveRun bool
	// answerBegun reports that the caller has got a part of the answer.
	answerBegun bool
	// delivered counts the tokens that the caller has got.
	delivered int
	// retries counts the attempts after the first.
	retries int
	// firstToken is the time from the arrival to the first token; 0 before it.
	firstToken time.Duration
	// attemptStarted is when the running attempt was started.
	attemptStarted time.Time
	// wastedTokens counts the tokens that were received and never reached the
	// caller.
	wastedTokens int
}

// attemptID returns the id of the present attempt. Only the entry VM that
// received the request makes attempts for it, so the number is unique within
// the request.
func (request *request) attemptID() definer.AttemptID { return attemptID(request.id, request.attempt) }

func attemptID(request definer.RequestID, attempt int) definer.AttemptID {
	return definer.AttemptID(fmt.Sprintf("%s.%d", request, attempt))
}

// repeatable reports whether the request may run again after it may have run.
func (request *request) repeatable() bool { return request.rule.Repeat() == definer.Idempotent }

// outcome returns what is known for certain of whether a failed request ran.
func (request *request) outcome() definer.Outcome {
	switch {
	case request.claimOutcome != "":
		return request.claimOutcome
	case request.keyed() && !request.claimed:
		return definer.Unknown
	case !request.mayHaveRun:
		return definer.NotRun
	case request.delivered > 0 || request.answer != nil:
		return definer.Ran
	default:
		return definer.Unknown
	}
}

// remaining returns the time to the deadline, or 0 when there is none. It stays
// positive when the deadline has passed.
func (request *request) remaining(now time.Time) time.Duration {
	if request.deadline.IsZero() {
		return 0
	}
	return max(request.deadline.Sub(now), time.Nanosecond)
}

// overdue reports whether the deadline has passed.
func (request *request) overdue(now time.Time) bool {
	return !request.deadline.IsZero() && !now.Before(request.deadline)
}
