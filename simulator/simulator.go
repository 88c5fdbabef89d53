package simulator

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

const (
	// tick is the time step of the simulation. The times of a Scenario, except those in its
	// EngineSettings, must be multiples of it.
	tick = 5 * time.Millisecond
	// reportInterval is the interval of load reports between nodes; a multiple of tick.
	reportInterval = 100 * time.Millisecond
	// firstIncarnation is the incarnation of all engines at the start.
	firstIncarnation = 1
	// maxSpread bounds the largest request of a class, as a multiple of the median.
	maxSpread = 6
	// deferredPriority is lower than the priority of every tier.
	deferredPriority = 9
)

// Scenario describes a deployment and the load on it.
type Scenario struct {
	Engines  int
	Nodes    int
	Settings EngineSettings
	Classes  []Class
	// BurstFrom and BurstUntil are the start and end of the burst, Duration is that of the whole
	// run; all are relative to the start.
	BurstFrom  time.Duration
	BurstUntil time.Duration
	Duration   time.Duration
	Seed       uint64
	// ReportDelay is the time from the composition of a load report until peers have it; a
	// multiple of tick.
	ReportDelay time.Duration
	// Restarts must be in order of time.
	Restarts          []Restart
	UnreadableEntries []UnreadableEntry
}

// UnreadableEntry is a period, relative to the start, in which an engine's registry entry is
// unreadable. Nodes send the engine no new requests; those in progress continue.
type UnreadableEntry struct {
	Engine int
	From   time.Duration
	Until  time.Duration
}

// Restart is a crash of an engine, which restarts at once under the same name with an empty cache.
// Requests in progress at the engine fail.
type Restart struct {
	Engine int
	// At is the time of the crash, relative to the start.
	At time.Duration
	// AnnouncementDelay is the time from the crash until the nodes receive the new incarnation.
	AnnouncementDelay time.Duration
}

// Outcomes counts the outcomes of a set of requests, such as those of one second or one class.
type Outcomes struct {
	Requests int
	InTime   int
	// Interrupted counts those in time that had a pause above the objective for it.
	Interrupted int
	Late        int
	Refused     int
	// Unanswered counts requests without a first event that were not refused: the caller gave up or
	// the engine crashed.
	Unanswered int
}

// InTimeShare returns the fraction of requests whose first event met the objective, or 0 if there
// were none.
func (outcomes Outcomes) InTimeShare() float64 {
	return float64(outcomes.InTime) / float64(max(outcomes.Requests, 1))
}

// Plus returns the sum of both.
func (outcomes Outcomes) Plus(other Outcomes) Outcomes {
	outcomes.Requests += other.Requests
	outcomes.InTime += other.InTime
	outcomes.Interrupted += other.Interrupted
	outcomes.Late += other.Late
	outcomes.Refused += other.Refused
	outcomes.Unanswered += other.Unanswered
	return outcomes
}

// Result is the result of a simulation.
type Result struct {
	// BySecond groups the outcomes by the second of arrival, ByClass by the name of the class.
	BySecond []Outcomes
	ByClass  map[string]Outcomes
	// SentAt has the times at which requests were sent to each engine, relative to the start.
	SentAt [][]time.Duration
	// PrefilledTokens counts the prompt tokens that engines prefilled, RepeatedTokens those among
	// them that belong to shared parts which some engine had prefilled before.
	PrefilledTokens int
	RepeatedTokens  int
	// PredictionRatios has, for each engine, the actual times to the first event as multiples of the
	// expected ones.
	PredictionRatios [][]float64
}

// node is a routing node, which chooses engines for requests.
type node struct{ selector *selector.Selector }

// simulation is the state of a run.
type simulation struct {
	scenario  Scenario
	random    *rand.Rand
	start     time.Time
	now       time.Time
	nodes     []*node
	engines   map[definer.UpstreamName]*engine
	upstreams []*registrar.Upstream
	// open has the requests that were assigned to an engine and have not ended, retries those
	// waiting for their retry by its time, and requests all of them.
	open     []*request
	retries  map[time.Time][]*request
	requests []*request
	refused  map[*request]bool
	// prefilledParts has the IDs of the parts that any engine has prefilled.
	prefilledParts map[string]bool
	// reports has the latest report for each node, which may not have arrived yet.
	reports []*messenger.LoadReport
	// sentAt has the times at which requests were sent to each engine, relative to start.
	sentAt map[definer.UpstreamName][]time.Duration
}

// Run simulates a scenario. No requests arrive after its Duration, but those that have arrived are
// followed to their end, so that none counts as unanswered only because the simulation ended.
func Run(scenario Scenario) Result {
	simulation := newSimulation(scenario)
	for elapsed := time.Duration(0); elapsed < scenario.Duration || simulation.unfinished(); elapsed += tick {
		simulation.advance(elapsed)
	}
	return simulation.result()
}

// unfinished reports whether requests are in progress or wait for their retry.
func (simulation *simulation) unfinished() bool {
	return len(simulation.open)+len(simulation.retries) > 0
}

// advance simulates one tick.
func (simulation *simulation) advance(elapsed time.Duration) {
	simulation.now = simulation.start.Add(elapsed)
	if elapsed%reportInterval == 0 {
		simulation.composeReports()
	}
	if elapsed%reportInterval == simulation.scenario.ReportDelay {
		simulation.applyReports()
	}
	simulation.applyRestarts(elapsed)
	if elapsed < simulation.scenario.Duration {
		simulation.addArrivals(elapsed)
	}
	simulation.sendRetries()
	simulation.expireRequests()
	for _, upstream := range simulation.upstreams {
		engine := simulation.engines[upstream.ID]
		engine.dropEnded()
		engine.advance(simulation.now, tick, simulation.prefilledParts)
	}
}

func newSimulation(scenario Scenario) *simulation {
	simulation := &simulation{
		scenario:       scenario,
		random:         rand.New(rand.NewPCG(scenario.Seed, 1)),
		start:          time.Unix(1000, 0),
		engines:        make(map[definer.UpstreamName]*engine),
		retries:        make(map[time.Time][]*request),
		refused:        make(map[*request]bool),
		prefilledParts: make(map[string]bool),
		sentAt:         make(map[definer.UpstreamName][]time.Duration),
	}
	for index := range scenario.Engines {
		id := definer.UpstreamName(fmt.Sprintf("engine-%03d", index))
		simulation.upstreams = append(simulation.upstreams, &registrar.Upstream{ID: id, Service: "pool", DataCentre: "one", Slots: scenario.Settings.Slots, Incarnation: firstIncarnation})
		simulation.engines[id] = newEngine(scenario.Settings.of(index))
	}
	for range scenario.Nodes {
		simulation.nodes = append(simulation.nodes, &node{selector: selector.New("one")})
	}
	return simulation
}

// applyRestarts performs the restarts that are due, and announces earlier ones to the nodes when
// their AnnouncementDelay has passed.
func (simulation *simulation) applyRestarts(elapsed time.Duration) {
	for index, restart := range simulation.scenario.Restarts {
		upstream := simulation.upstreams[restart.Engine]
		if elapsed == restart.At {
			simulation.crash(upstream.ID)
		}
		if elapsed == restart.At+restart.AnnouncementDelay {
			restarted := *upstream
			restarted.Incarnation = definer.Incarnation(index + firstIncarnation + 1)
			simulation.upstreams = slices.Clone(simulation.upstreams)
			simulation.upstreams[restart.Engine] = &restarted
		}
	}
}

// crash fails the requests at an engine and replaces it by an empty one.
func (simulation *simulation) crash(id definer.UpstreamName) {
	for _, request := range simulation.open {
		if !request.ended && request.assignment.Upstream().ID == id {
			request.fail(simulation.now)
		}
	}
	crashed := simulation.engines[id]
	simulation.engines[id] = newEngine(crashed.settings)
	simulation.engines[id].prefilledTokens, simulation.engines[id].repeatedTokens = crashed.prefilledTokens, crashed.repeatedTokens
}

// addArrivals sends the new requests of the current tick.
func (simulation *simulation) addArrivals(elapsed time.Duration) {
	for index := range simulation.scenario.Classes {
		class := &simulation.scenario.Classes[index]
		rate := class.RequestsPerSecond
		if elapsed >= simulation.scenario.BurstFrom && elapsed < simulation.scenario.BurstUntil {
			rate *= class.BurstFactor
		}
		for expected := rate * tick.Seconds(); expected > 0; expected-- {
			if simulation.random.Float64() < expected {
				simulation.send(simulation.newRequest(class))
			}
		}
	}
}

// sendRetries sends the requests whose retry is due.
func (simulation *simulation) sendRetries() {
	for _, request := range simulation.retries[simulation.now] {
		simulation.send(request)
	}
	delete(simulation.retries, simulation.now)
}

// newRequest returns a new request of a class, with a randomly chosen prefix.
func (simulation *simulation) newRequest(class *Class) *request {
	prefix := fmt.Sprintf("%s-%d", class.Name, simulation.random.IntN(class.Prefixes))
	request := &request{
		class:        class,
		parts:        []selector.Part{{ID: prefix, Tokens: class.PrefixTokens}},
		promptTokens: class.PrefixTokens + simulation.drawTokens(class.UniqueTokens, class.Spread),
		outputTokens: simulation.drawTokens(class.OutputTokens, class.Spread),
		arrivedAt:    simulation.now,
		deadline:     simulation.now.Add(class.Timeout),
	}
	simulation.requests = append(simulation.requests, request)
	return request
}

// drawTokens draws a log-normal number of tokens, of at most maxSpread times the median.
func (simulation *simulation) drawTokens(median int, spread float64) int {
	if spread == 0 {
		return median
	}
	factor := min(math.Exp(spread*simulation.random.NormFloat64()), maxSpread)
	return max(int(factor*float64(median)), 1)
}

// send lets a random node choose an engine for the request, and enqueues the request there.
func (simulation *simulation) send(request *request) {
	class := request.class
	request.node = simulation.nodes[simulation.random.IntN(len(simulation.nodes))]
	candidates := simulation.readableUpstreams()
	assignment, err := request.node.selector.Choose(simulation.now, &selector.Demand{
		Service: "pool", Rule: class.Name, Tier: class.Tier, Candidates: candidates, Engine: true, Parts: request.parts,
		PromptTokens: request.promptTokens, OutputTokens: request.outputTokens, CacheTokens: simulation.scenario.Settings.CacheTokens,
		Objective: class.Objective, TimeLeft: request.deadline.Sub(simulation.now), Idempotent: true,
		Deferrable: class.Deferrable, GapObjective: class.GapObjective, Draw: simulation.random.Float64(),
	})
	if err != nil {
		simulation.retryOrRefuse(request, err)
		return
	}
	request.assignment, request.priority = assignment, class.Tier
	if assignment.Deferred() {
		request.priority = deferredPriority
	}
	simulation.sentAt[assignment.Upstream().ID] = append(simulation.sentAt[assignment.Upstream().ID], simulation.now.Sub(simulation.start))
	simulation.engines[assignment.Upstream().ID].enqueue(request)
	simulation.open = append(simulation.open, request)
}

// readableUpstreams returns the engines whose registry entries are readable now.
func (simulation *simulation) readableUpstreams() []*registrar.Upstream {
	if len(simulation.scenario.UnreadableEntries) == 0 {
		return simulation.upstreams
	}
	elapsed := simulation.now.Sub(simulation.start)
	unreadable := make(map[definer.UpstreamName]bool)
	for _, entry := range simulation.scenario.UnreadableEntries {
		if elapsed >= entry.From && elapsed < entry.Until {
			unreadable[simulation.upstreams[entry.Engine].ID] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(simulation.upstreams), func(upstream *registrar.Upstream) bool { return unreadable[upstream.ID] })
}

// retryOrRefuse schedules one retry after the RetryAfter of a saturation error. The second refusal
// and all other errors are final.
func (simulation *simulation) retryOrRefuse(request *request, err error) {
	var saturation *selector.Saturation
	if request.retried || !errors.As(err, &saturation) {
		simulation.refused[request] = true
		return
	}
	request.retried = true
	delay := max(saturation.RetryAfter.Round(tick), tick)
	simulation.retries[simulation.now.Add(delay)] = append(simulation.retries[simulation.now.Add(delay)], request)
}

// expireRequests abandons requests that are past their deadline and forgets those that have ended.
func (simulation *simulation) expireRequests() {
	open := simulation.open[:0]
	for _, request := range simulation.open {
		if !request.ended && simulation.now.After(request.deadline) {
			request.abandon(simulation.now)
		}
		if !request.ended {
			open = append(open, request)
		}
	}
	simulation.open = open
}

// result returns the outcomes of all requests and the totals of all engines.
func (simulation *simulation) result() Result {
	result := Result{BySecond: make([]Outcomes, int((simulation.scenario.Duration+time.Second-1)/time.Second)), ByClass: make(map[string]Outcomes)}
	for _, request := range simulation.requests {
		second := int(request.arrivedAt.Sub(simulation.start) / time.Second)
		classOutcomes := result.ByClass[request.class.Name]
		for _, outcomes := range []*Outcomes{&classOutcomes, &result.BySecond[second]} {
			simulation.countOutcome(outcomes, request)
		}
		result.ByClass[request.class.Name] = classOutcomes
	}
	for _, upstream := range simulation.upstreams {
		result.SentAt = append(result.SentAt, simulation.sentAt[upstream.ID])
		result.PredictionRatios = append(result.PredictionRatios, simulation.predictionRatios(upstream.ID))
	}
	for _, engine := range simulation.engines {
		result.PrefilledTokens += engine.prefilledTokens
		result.RepeatedTokens += engine.repeatedTokens
	}
	return result
}

// predictionRatios returns the ratios of actual to expected first events at an engine, of requests
// that were neither deferred nor retried.
func (simulation *simulation) predictionRatios(id definer.UpstreamName) []float64 {
	var ratios []float64
	for _, request := range simulation.requests {
		assignment := request.assignment
		if assignment == nil || assignment.Upstream().ID != id || assignment.Deferred() || request.retried || request.firstEventAt.IsZero() {
			continue
		}
		ratios = append(ratios, request.firstEventAt.Sub(request.arrivedAt).Seconds()/assignment.ExpectedFirstEvent().Seconds())
	}
	return ratios
}

// countOutcome adds the outcome of a request to the counts.
func (simulation *simulation) countOutcome(outcomes *Outcomes, request *request) {
	outcomes.Requests++
	switch {
	case !request.firstEventAt.IsZero() && request.firstEventAt.Sub(request.arrivedAt) <= request.class.Objective:
		outcomes.InTime++
		if objective := request.class.GapObjective; objective > 0 && request.longestGap > objective {
			outcomes.Interrupted++
		}
	case !request.firstEventAt.IsZero():
		outcomes.Late++
	case simulation.refused[request]:
		outcomes.Refused++
	default:
		outcomes.Unanswered++
	}
}
