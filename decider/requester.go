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
	requesterPart = "request"
	// askAgainAfter is how long an ask waits for any word of the owner.
	askAgainAfter = 150 * time.Millisecond
	// queuedAgainAfter is how long a queued ask waits before it is repeated.
	queuedAgainAfter = time.Second
	// emergencyAfter is how many asks in a row go unanswered before a protected
	// request also asks the next in rank.
	emergencyAfter = 3
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// retryAfterBusy is told when nothing better is known.
	retryAfterBusy = time.Second
)

// requester leads each caller's request from its arrival to its final answer.
type requester struct {
	*core
	// requests holds each open request once; core.open is its size.
	requests map[definer.RequestID]*request
	budget   *budget
	rates    *limiter.Rate
	// suspicions are its own.
	suspicions *suspicions
	admitter   *admitter.Admitter
	// hinted holds, for each shard with hints, the tenure that they come from.
	hinted map[messenger.Shard]tenure
	// reported holds the tenure of the owner that knows what is held of a shard.
	reported map[messenger.Shard]tenure
	// sequence is this node's own one when it last reported.
	sequence uint64
}

func newRequester(core *core) *requester {
	return &requester{
		core:       core,
		requests:   make(map[definer.RequestID]*request),
		budget:     newBudget(),
		rates:      limiter.NewRate(),
		suspicions: newSuspicions(core),
		admitter:   admitter.New(),
		hinted:     make(map[messenger.Shard]tenure),
		reported:   make(map[messenger.Shard]tenure),
	}
}

func (requester *requester) priority() int { return requesterPriority }

func (requester *requester) handle(event Event) {
	switch event := event.(type) {
	case started:
		requester.after(reportPart, "", reportEvery)
	case RequestArrived:
		requester.arrive(event)
	case CallerLeft:
		requester.leave(event)
	case claimDecided:
		requester.claimed(event)
	case CallForwarded:
		requester.forwarded(event)
	case AttemptProgressed:
		requester.progress(event)
	case AttemptEnded:
		requester.end(event)
	case MessageReceived:
		switch message := event.Message.(type) {
		case *messenger.GrantAnswer:
			requester.answered(event, message)
		case *messenger.FallNotice:
			requester.suspicions.learn(event.From, message)
		}
	case LiftRequested:
		requester.suspicions.lift(event.Identity)
	case TimerFired:
		requester.due(event.Key)
	case membersChanged:
		requester.forgetHints()
		requester.membersMoved()
	}
	requester.core.open = len(requester.requests)
}

// due deals with a timer that came due.
func (requester *requester) due(key TimerKey) {
	switch key.Part {
	case requesterPart:
		requester.fired(definer.RequestID(key.ID))
	case reportPart:
		requester.reportAll()
	case suspicionPart:
		requester.suspicions.fired()
	}
}

// arrive matches a new request and asks for a slot.
func (requester *requester) arrive(event RequestArrived) {
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
		refusal.Outcome = beforeClaim(request.key)
		requester.turnAway(request, refusal)
		return
	}
	request.setDeadline(event.Deadline)
	requester.requests[request.id] = request
	if request.keyed() {
		requester.claim(request, event.Forwarded)
		return
	}
	request.untried = requester.candidates(request)
	requester.next(request, messenger.NoUpstream, retryAfterBusy)
}

// setDeadline takes the nearer of the caller's and the rule's bound.
func (request *request) setDeadline(callers time.Duration) {
	bound := request.rule.Deadline()
	if callers > 0 && (bound == 0 || callers < bound) {
		bound = callers
	}
	if bound > 0 {
		request.deadline = request.arrived.Add(bound)
	}
}

// match gives the request its rule, class and pool, or a refusal.
func (requester *requester) match(request *request) (Refusal, bool) {
	if requester.draining {
		return refusalFor(messenger.Draining, definer.NotRun, retryAfterBusy), false
	}
	if requester.configuration == nil {
		return refusalFor(messenger.NotReady, definer.NotRun, retryAfterBusy), false
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

// offers tells whether some upstream of the pool holds the model.
func offers(pool *definer.Pool, model string) bool {
	return slices.ContainsFunc(pool.Upstreams(), func(upstream *definer.Upstream) bool { return upstream.Serves(model) })
}

// next asks the next shard that was not tried, or gives the request up.
func (requester *requester) next(request *request, reason messenger.RefusalReason, retryAfter time.Duration) {
	if len(request.untried) == 0 {
		requester.refuse(request, reason, retryAfter)
		return
	}
	if requester.isHeldOff(request) {
		return
	}
	request.shard = request.untried[0]
	request.untried = request.untried[1:]
	if verdict, ok := requester.hopeless(request); ok {
		requester.next(request, verdict.Reason, verdict.RetryAfter)
		return
	}
	request.attempt++
	request.silent = 0
	request.state = asking
	requester.ask(request)
}

// ask sends the request's ask to the owner of its shard.
func (requester *requester) ask(request *request) {
	vm, ok := requester.roster.owner(request.shard)
	if !ok {
		requester.next(request, messenger.OwnerLost, retryAfterBusy)
		return
	}
	request.silent++
	request.tenure = requester.roster.tenure(request.shard)
	requester.askAgain(request, askAgainAfter)
	requester.send(vm, requester.askFor(request))
}

func (requester *requester) askFor(request *request) *messenger.GrantAsk {
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

// askAgain sets when the ask is repeated, its deadline at the latest.
func (requester *requester) askAgain(request *request, gap time.Duration) {
	if !request.deadline.IsZero() {
		gap = min(gap, request.remaining(requester.now))
	}
	requester.after(requesterPart, string(request.id), gap)
}

// fired deals with a request whose timer came due.
func (requester *requester) fired(id definer.RequestID) {
	request, ok := requester.requests[id]
	if !ok || request.state != asking && request.state != settling {
		return
	}
	if request.overdue(requester.now) {
		requester.withdraw(request)
		requester.refuse(request, messenger.DeadlineMissed, retryAfterBusy)
		return
	}
	if request.state == settling {
		requester.next(request, messenger.NoUpstream, retryAfterBusy)
		return
	}
	waited := requester.now.Sub(request.arrived)
	if waited > request.class.LongestWait() {
		requester.withdraw(request)
		requester.refuse(request, messenger.WaitExceeded, retryAfterBusy)
		return
	}
	requester.ask(request)
	requester.askNext(request)
}

// answered deals with an owner's answer.
func (requester *requester) answered(event MessageReceived, answer *messenger.GrantAnswer) {
	requester.hear(event.From, answer)
	request, ok := requester.requests[answer.Request]
	current := ok && request.state == asking && request.attempt == answer.Attempt
	vm, owned := requester.roster.owner(answer.Shard)
	if current && owned && vm == event.From.VM {
		request.silent = 0
	}
	switch {
	case !current && answer.Grant != "" && (!ok || request.grant != answer.Grant):
		requester.send(event.From.VM, &messenger.GrantRelease{Shard: answer.Shard, Grant: answer.Grant, Request: answer.Request, Upstream: answer.Upstream})
	case !current:
	case answer.Grant == "" && vm != event.From.VM:
		// Only the present owner may queue or refuse.
	case answer.Queued:
		requester.askAgain(request, queuedAgainAfter)
	case answer.Grant != "":
		requester.start(request, event.From, answer)
	default:
		requester.next(request, answer.Reason, answer.RetryAfter)
	}
}

// start begins an attempt under a grant.
func (requester *requester) start(request *request, issuer definer.Member, answer *messenger.GrantAnswer) {
	request.grant = answer.Grant
	request.issuer = issuer
	request.upstream = nil
	for _, upstream := range request.pool.Upstreams() {
		if upstream.Name() == answer.Upstream {
			request.upstream = upstream
		}
	}
	if request.late(requester.now) {
		requester.release(request, messenger.Observation{})
		requester.refuse(request, messenger.WaitExceeded, retryAfterBusy)
		return
	}
	if request.upstream == nil {
		requester.release(request, messenger.Observation{})
		requester.next(request, messenger.NoUpstream, retryAfterBusy)
		return
	}
	requester.clear(requesterPart, string(request.id))
	request.state = running
	request.attemptStarted = requester.now
	requester.noteGrant(request, issuer)
	requester.act(StartAttempt{
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

// progress notes how far a running answer has come.
func (requester *requester) progress(event AttemptProgressed) {
	request, ok := requester.requests[event.Request]
	if !ok || request.attemptID() != event.Attempt {
		return
	}
	if request.firstToken == 0 {
		request.firstToken = requester.now.Sub(request.arrived)
	}
	request.delivered = max(request.delivered, event.Delivered)
}

// leave ends a request whose caller has gone.
func (requester *requester) leave(event CallerLeft) {
	request, ok := requester.requests[event.Request]
	if !ok {
		return
	}
	if request.state == running && request.keyed() {
		// The run goes on, so that its answer is there for a repeat.
		return
	}
	if request.state == running {
		requester.act(CancelAttempt{Request: request.id, Attempt: request.attemptID(), Upstream: request.upstream})
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

// release gives a grant back to the present owner, and to the member that made
// it if that is another and lives.
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
		requester.send(vm, release)
	}
	if issuer := request.issuer; issuer.VM != vm && requester.roster.alive(issuer) {
		requester.send(issuer.VM, release)
	}
}

func upstreamName(upstream *definer.Upstream) definer.UpstreamName {
	if upstream == nil {
		return ""
	}
	return upstream.Name()
}
