package decider

import (
	"slices"
	"time"

	"limpetcleat/admitter"
	"limpetcleat/definer"
	"limpetcleat/limiter"
	"limpetcleat/messenger"
)

const (
	requesterComponent = "request"
	// askRetryInterval is how long an ask waits for any answer of the owner
	// before it is repeated.
	askRetryInterval = 150 * time.Millisecond
	// queuedAskRetryInterval is how long a queued ask waits before it is
	// repeated.
	queuedAskRetryInterval = time.Second
	// emergencyAfterAsks is how many asks in a row go unanswered before a
	// protected request also asks the member that ranks next.
	emergencyAfterAsks = 3
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// defaultRetryAfter is the delay told to callers when no better estimate is
	// known.
	defaultRetryAfter = time.Second
)

// requester handles each caller's request from its arrival to its final answer.
type requester struct {
	*core
	// requests holds the open requests; core.openRequests is its size.
	requests map[definer.RequestID]*request
	budget   *budget
	rates    *limiter.Rate
	// suspicions is used by the requester alone.
	suspicions *suspicions
	admitter   *admitter.Admitter
	// hintTenures holds, for each shard with a known expected wait, the tenure
	// of the owner that reported it.
	hintTenures map[messenger.Shard]tenure
	// reportedTenures holds, by shard, the tenure of the owner that was sent
	// the last report of held grants.
	reportedTenures map[messenger.Shard]tenure
	// reportedSequence is this node's own sequence number at its last report.
	reportedSequence uint64
	releases         *releases
}

func newRequester(core *core) *requester {
	return &requester{
		core:            core,
		requests:        make(map[definer.RequestID]*request),
		budget:          newBudget(),
		rates:           limiter.NewRate(),
		suspicions:      newSuspicions(core),
		admitter:        admitter.New(),
		hintTenures:     make(map[messenger.Shard]tenure),
		reportedTenures: make(map[messenger.Shard]tenure),
		releases:        newReleases(core),
	}
}

func (requester *requester) priority() int { return requesterPriority }

func (requester *requester) handle(event Event) {
	switch event := event.(type) {
	case started:
		requester.setTimer(reportComponent, "", reportInterval)
	case RequestArrived:
		requester.handleArrival(event)
	case CallerLeft:
		requester.handleCallerLeft(event)
	case claimDecided:
		requester.handleClaim(event)
	case CallForwarded:
		requester.handleForwarded(event)
	case AttemptProgressed:
		requester.handleProgress(event)
	case AttemptEnded:
		requester.handleAttemptEnd(event)
	case MessageReceived:
		switch message := event.Message.(type) {
		case *messenger.GrantAnswer:
			requester.handleGrantAnswer(event, message)
		case *messenger.FallNotice:
			requester.suspicions.learn(event.From, message)
		}
	case LiftRequested:
		requester.suspicions.lift(event.Identity)
	case TimerFired:
		requester.handleTimer(event.Key)
	case membersChanged:
		requester.forgetHints()
		requester.releases.forgetMembers(event.gone)
		requester.handleMembersChanged()
	}
	requester.core.openRequests = len(requester.requests)
}

// handleTimer handles a timer that is due.
func (requester *requester) handleTimer(key TimerKey) {
	switch key.Component {
	case requesterComponent:
		requester.handleRequestTimer(definer.RequestID(key.ID))
	case reportComponent:
		requester.sendReports()
	case releaseComponent:
		requester.releases.retry()
	case suspicionComponent:
		requester.suspicions.handleTimer()
	}
}

// handleArrival matches a new request to its rule and asks for a slot, or for
// its claim first.
func (requester *requester) handleArrival(event RequestArrived) {
	request := &request{
		id:           event.Request,
		organisation: event.Organisation,
		properties:   event.Properties,
		key:          event.Key,
		bodyHash:     event.BodyHash,
		identity:     event.Identity,
		prefix:       event.Prefix,
		arrived:      requester.now,
	}
	if refusal, ok := requester.match(request); !ok {
		refusal.Outcome = outcomeBeforeClaim(request.key)
		requester.refuseOnArrival(request, refusal)
		return
	}
	request.setDeadline(event.Deadline)
	requester.requests[request.id] = request
	if request.keyed() {
		requester.requestClaim(request, event.Forwarded)
		return
	}
	request.untriedShards = requester.candidateShards(request)
	requester.askNextShard(request, messenger.NoUpstream, defaultRetryAfter)
}

// setDeadline sets the deadline to the nearer of the caller's and the rule's
// bound.
func (request *request) setDeadline(callers time.Duration) {
	bound := request.rule.Deadline()
	if callers > 0 && (bound == 0 || callers < bound) {
		bound = callers
	}
	if bound > 0 {
		request.deadline = request.arrived.Add(bound)
	}
}

// match sets the rule, class and pool of the request. It returns false with the
// refusal when the request cannot be accepted.
func (requester *requester) match(request *request) (Refusal, bool) {
	if requester.draining {
		return refusalFor(messenger.Draining, definer.NotRun, defaultRetryAfter), false
	}
	if requester.configuration == nil {
		return refusalFor(messenger.NotReady, definer.NotRun, defaultRetryAfter), false
	}
	rule, err := requester.matcher.Match(request.properties)
	if err != nil {
		return refusalFor(messenger.NoRule, definer.NotRun, 0), false
	}
	if rule.Refusal() != "" {
		refusal := refusalFor(messenger.RuleRefused, definer.NotRun, 0)
		refusal.Message = rule.Refusal()
		return refusal, false
	}
	request.rule = rule
	request.class, _ = requester.configuration.Class(rule.Class())
	request.pool, _ = requester.configuration.Pool(rule.Pool())
	if !offers(request.pool, request.properties.Model) {
		return refusalFor(messenger.NoModel, definer.NotRun, 0), false
	}
	return requester.withinRate(request)
}

// offers reports whether some upstream of the pool serves the model.
func offers(pool *definer.Pool, model string) bool {
	return slices.ContainsFunc(pool.Upstreams(), func(upstream *definer.Upstream) bool { return upstream.Serves(model) })
}

// askNextShard asks the next shard that has not been tried, or refuses the
// request when none is left.
func (requester *requester) askNextShard(request *request, reason messenger.RefusalReason, retryAfter time.Duration) {
	if len(request.untriedShards) == 0 {
		requester.refuse(request, reason, retryAfter)
		return
	}
	if requester.holdOff(request) {
		return
	}
	request.shard = request.untriedShards[0]
	request.untriedShards = request.untriedShards[1:]
	if verdict, ok := requester.earlyRejection(request); ok {
		requester.askNextShard(request, verdict.Reason, verdict.RetryAfter)
		return
	}
	request.attempt++
	request.unansweredAsks = 0
	request.state = asking
	requester.sendAsk(request)
}

// sendAsk sends the request's ask to the owner of its shard.
func (requester *requester) sendAsk(request *request) {
	vm, ok := requester.roster.owner(request.shard)
	if !ok {
		requester.askNextShard(request, messenger.OwnerLost, defaultRetryAfter)
		return
	}
	request.unansweredAsks++
	request.tenure = requester.roster.tenure(request.shard)
	requester.setAskTimer(request, askRetryInterval)
	requester.send(vm, requester.newGrantAsk(request))
}

func (requester *requester) newGrantAsk(request *request) *messenger.GrantAsk {
	return &messenger.GrantAsk{
		Shard:        request.shard,
		Request:      request.id,
		Attempt:      request.attempt,
		Class:        request.class.Name(),
		Organisation: request.organisation,
		Model:        request.properties.Model,
		PromptTokens: request.properties.PromptTokens,
		OutputTokens: request.properties.MaxTokens,
		Age:          requester.now.Sub(request.arrived),
		Remaining:    request.remaining(requester.now),
		Prefix:       request.prefix,
		Exclude:      request.excluded,
	}
}

// setAskTimer sets when the ask is repeated, at the latest at the request's
// deadline.
func (requester *requester) setAskTimer(request *request, gap time.Duration) {
	if !request.deadline.IsZero() {
		gap = min(gap, request.remaining(requester.now))
	}
	requester.setTimer(requesterComponent, string(request.id), gap)
}

// handleRequestTimer handles the timer of a request.
func (requester *requester) handleRequestTimer(id definer.RequestID) {
	request, ok := requester.requests[id]
	if !ok || request.state != asking && request.state != settling {
		return
	}
	if request.overdue(requester.now) {
		requester.withdraw(request)
		requester.refuse(request, messenger.DeadlineMissed, defaultRetryAfter)
		return
	}
	if request.state == settling {
		requester.askNextShard(request, messenger.NoUpstream, defaultRetryAfter)
		return
	}
	waited := requester.now.Sub(request.arrived)
	if waited > request.class.LongestWait() {
		requester.withdraw(request)
		requester.refuse(request, messenger.WaitExceeded, defaultRetryAfter)
		return
	}
	requester.sendAsk(request)
	requester.askSecondRanked(request)
}

// handleGrantAnswer handles an owner's answer to an ask.
func (requester *requester) handleGrantAnswer(event MessageReceived, answer *messenger.GrantAnswer) {
	if len(answer.Released) > 0 {
		requester.releases.acknowledge(event.From.VM, answer.Released)
		return
	}
	requester.recordExpectedWait(event.From, answer)
	request, ok := requester.requests[answer.Request]
	current := ok && request.state == asking && request.attempt == answer.Attempt
	vm, owned := requester.roster.owner(answer.Shard)
	if current && owned && vm == event.From.VM {
		request.unansweredAsks = 0
	}
	switch {
	case !current && answer.Grant != "" && (!ok || request.grant != answer.Grant):
		requester.releases.sendRelease(event.From.VM, &messenger.GrantRelease{Shard: answer.Shard, Grant: answer.Grant, Request: answer.Request, Upstream: answer.Upstream})
	case !current:
	case answer.Grant == "" && vm != event.From.VM:
		// Only the present owner may queue or refuse an ask.
	case answer.Queued:
		requester.setAskTimer(request, queuedAskRetryInterval)
	case answer.Grant != "":
		requester.startAttempt(request, event.From, answer)
	default:
		requester.askNextShard(request, answer.Reason, answer.RetryAfter)
	}
}

// startAttempt starts an attempt under a grant.
func (requester *requester) startAttempt(request *request, issuer definer.Member, answer *messenger.GrantAnswer) {
	request.grant = answer.Grant
	request.issuer = issuer
	request.upstream = nil
	for _, upstream := range request.pool.Upstreams() {
		if upstream.Name() == answer.Upstream {
			request.upstream = upstream
		}
	}
	if request.pastStartBy(requester.now) {
		requester.release(request, messenger.Observation{})
		requester.refuse(request, messenger.WaitExceeded, defaultRetryAfter)
		return
	}
	if request.upstream == nil {
		requester.release(request, messenger.Observation{})
		requester.askNextShard(request, messenger.NoUpstream, defaultRetryAfter)
		return
	}
	requester.clearTimer(requesterComponent, string(request.id))
	request.state = running
	request.attemptStarted = requester.now
	requester.recordGrant(request, issuer)
	requester.emit(StartAttempt{
		Request:     request.id,
		Attempt:     request.attemptID(),
		Upstream:    request.upstream,
		Kind:        request.pool.Kind(),
		Priority:    answer.Priority,
		Preemptible: answer.Preemptible,
		Offset:      request.delivered,
		Deadline:    request.deadline,
		Repeatable:  request.repeatable(),
		KeepAnswer:  request.keyed(),
		StartBy:     request.startBy,
	})
}

// handleProgress records how many tokens of a running attempt were delivered.
func (requester *requester) handleProgress(event AttemptProgressed) {
	request, ok := requester.requests[event.Request]
	if !ok || request.attemptID() != event.Attempt {
		return
	}
	if request.firstToken == 0 {
		request.firstToken = requester.now.Sub(request.arrived)
	}
	request.delivered = max(request.delivered, event.Delivered)
}

// handleCallerLeft ends a request whose caller has disconnected.
func (requester *requester) handleCallerLeft(event CallerLeft) {
	request, ok := requester.requests[event.Request]
	if !ok {
		return
	}
	if request.state == running && request.keyed() {
		// The attempt continues so that its answer is stored for a repeat.
		return
	}
	if request.state == running {
		requester.emit(CancelAttempt{Request: request.id, Attempt: request.attemptID(), Upstream: request.upstream})
		return
	}
	requester.withdraw(request)
	requester.refuse(request, messenger.CallerGone, 0)
}

func (requester *requester) withdraw(request *request) {
	if vm, ok := requester.roster.owner(request.shard); ok && request.state == asking {
		requester.send(vm, &messenger.GrantWithdraw{Shard: request.shard, Request: request.id, Attempt: request.attempt})
	}
}

// release returns a grant to the present owner, and to the member that issued
// it if that is another and still alive.
func (requester *requester) release(request *request, observation messenger.Observation) {
	if request.grant == "" {
		return
	}
	release := &messenger.GrantRelease{
		Shard:       request.shard,
		Grant:       request.grant,
		Request:     request.id,
		Upstream:    upstreamName(request.upstream),
		Class:       request.class.Name(),
		Observation: observation,
	}
	request.grant = ""
	vm, ok := requester.roster.owner(request.shard)
	if ok {
		requester.releases.sendRelease(vm, release)
	}
	if issuer := request.issuer; issuer.VM != vm && requester.roster.alive(issuer) {
		requester.releases.sendRelease(issuer.VM, release)
	}
}

func upstreamName(upstream *definer.Upstream) definer.UpstreamName {
	if upstream == nil {
		return ""
	}
	return upstream.Name()
}
