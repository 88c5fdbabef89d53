package selector

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// An engine interleaves the prefill of long prompts with the decoding of all its answers, so a
// long prompt delays the tokens of the answers in flight there. The rules of a service are
// therefore separated by mean prompt length: its engines have an order that all nodes compute
// alike, rules with long prompts use them from the front, the others from the back, and the
// boundary follows the recent work of each side.

const (
	// workDecay is the time constant of the work that sets the boundary: it falls to 1/e in
	// this time. Bursts last 4 to 9 s; values from 1.5 to 16 s give results within noise of
	// each other.
	workDecay = 2500 * time.Millisecond
	// minSpan is the least time that a rule's work is assumed to cover: over a shorter one, a
	// few requests would be extrapolated to many.
	minSpan = 500 * time.Millisecond
	// lengthDecay is the time constant of the mean length of a rule's prompts.
	lengthDecay = 20 * time.Second
	// minLengthRatio is the factor between the mean prompt lengths of two rules from which on
	// they are separated.
	minLengthRatio = 2.0
	// minRequests is the decayed number of requests below which a rule without requests in
	// flight is removed: a rule that was used once is removed after a minute.
	minRequests = 0.05
	// maxPrefillUtilisation is the highest utilisation by prefill for the engines of the side
	// with the higher tier: at 0.6 a request waits on average for three quarters of the time
	// that one takes.
	maxPrefillUtilisation = 0.6
	// decodingTolerance is the most that rounding may leave in ruleWork.decoding when no answer
	// is in flight.
	decodingTolerance = 1e-6
	// otherSideCost is the cost of sending a request to an engine of the other side. It keeps the
	// sides apart while both have capacity; the costs of pauses and of late first events go
	// beyond it.
	otherSideCost = 200 * time.Millisecond
)

// ruleWork tracks the engine time that the requests of one rule take, and the length of their
// prompts.
type ruleWork struct {
	// since is when the first request of the rule came.
	since time.Time
	// tier is the rule's priority; 0 is the highest.
	tier int
	// prefill is the part of work spent on prefill, in seconds, as of prefillAt; it decays in
	// the same way.
	prefill   float64
	prefillAt time.Time
	// gapObjective is the rule's objective for pauses; 0 is none.
	gapObjective time.Duration
	// callerTimeout is how long the callers of the rule wait.
	callerTimeout callerTimeout
	// work is the engine time spent on the requests, in seconds, decaying with workDecay, as of
	// workAt.
	work   float64
	workAt time.Time
	// decoding is how many engines the answers in flight occupy, each by its part of an
	// engine's slots.
	decoding float64
	// promptTokens divided by requests is the mean prompt length; both decay with lengthDecay,
	// as of lengthAt.
	promptTokens float64
	requests     float64
	lengthAt     time.Time
}

// addPrefill adds the engine time for the prefill of a prompt.
func (ruleWork *ruleWork) addPrefill(now time.Time, work time.Duration) {
	ruleWork.work = ruleWork.workAtTime(now) + work.Seconds()
	ruleWork.workAt = now
	ruleWork.prefill = decay(ruleWork.prefill, now.Sub(ruleWork.prefillAt), workDecay) + work.Seconds()
	ruleWork.prefillAt = now
}

// decayFill returns the part of its steady-state value that a decayed sum has reached since the
// rule's first request. Sums are divided by it, because a sum that has been kept for less than
// its time constant is too low: without the correction, the first second of a rule's requests
// looked like a third of their work, and the higher tier had a third of the engines that it
// needed when all nodes had just started.
func (ruleWork *ruleWork) decayFill(now time.Time) float64 {
	return decayFill(now.Sub(ruleWork.since), workDecay)
}

// decayFill returns the part of its steady-state value that a decayed sum has reached after the
// span since it began.
func decayFill(span, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-max(span, minSpan).Seconds()/timeConstant.Seconds())
}

// addDecoding adds answers in flight that occupy that many engines, or removes them if
// negative.
func (ruleWork *ruleWork) addDecoding(now time.Time, engines float64) {
	ruleWork.work = ruleWork.workAtTime(now)
	ruleWork.workAt = now
	ruleWork.decoding += engines
}

// workAtTime returns the decayed work at now, including the decoding since workAt.
func (ruleWork *ruleWork) workAtTime(now time.Time) float64 {
	span := now.Sub(ruleWork.workAt)
	if ruleWork.workAt.IsZero() {
		return 0
	}
	return decay(ruleWork.work+ruleWork.decoding*span.Seconds(), span, workDecay)
}

func (ruleWork *ruleWork) addPrompt(now time.Time, tokens int) {
	age := now.Sub(ruleWork.lengthAt)
	ruleWork.promptTokens = decay(ruleWork.promptTokens, age, lengthDecay) + float64(tokens)
	ruleWork.requests = decay(ruleWork.requests, age, lengthDecay) + 1
	ruleWork.lengthAt = now
}

// partition divides the engines of one service between rules with long and with short prompts.
type partition struct {
	rules map[string]*ruleWork
}

func (partition *partition) rule(name string) *ruleWork {
	known, ok := partition.rules[name]
	if !ok {
		known = &ruleWork{}
		partition.rules[name] = known
	}
	return known
}

// side is the part of a service's engines that serves the requests of a rule.
type side struct {
	// order holds the position of each candidate of the demand, the same on all nodes.
	order []int
	// boundary is the number of engines, from the front of the order, that serve long prompts;
	// an engine that it falls within belongs partly to both sides.
	boundary float64
	// long is set if the request's rule has long prompts.
	long bool
	// divided is set if the rules are separated; if not, all engines belong to the request's
	// side.
	divided bool
	// arrivals is the number of requests per second for each engine of the side, utilisation
	// the part of an engine's time that they take, and meanPrompt the mean prompt length in
	// tokens.
	arrivals    float64
	utilisation float64
	meanPrompt  float64
}

// side returns the side that serves the demand's rule, computed from the work of all nodes by rule.
func (service *service) side(demand *Demand, kinds map[string]messenger.KindWork) *side {
	limit := lengthLimit(kinds)
	count := float64(len(demand.Candidates))
	long, short := sideLoad{}, sideLoad{}
	for _, kind := range kinds {
		if limit > 0 && meanLength(kind) > limit {
			long.add(kind)
			continue
		}
		short.add(kind)
	}
	work := long.work + short.work
	if limit == 0 || count < 2 || work == 0 {
		return short.side(count)
	}
	boundary := math.Min(math.Max(math.Round(longEngines(long, short, count)), 1), count-1)
	divided := short.side(count - boundary)
	length := meanLength(kinds[demand.Rule])
	if length == 0 {
		length = float64(demand.PromptTokens) // It is the first request of its rule.
	}
	if length > limit {
		divided = long.side(boundary)
		divided.long = true
	}
	divided.divided = true
	divided.order, divided.boundary = service.order.positionsOf(demand.Candidates), boundary
	return divided
}

// longEngines returns how many of count engines serve long prompts. They are divided in
// proportion to the work of both sides, but the side with the higher tier gets
// enginesNeeded at least.
func longEngines(long, short sideLoad, count float64) float64 {
	engines := long.work / (long.work + short.work) * count
	switch {
	case short.tier < long.tier:
		return min(engines, count-short.enginesNeeded())
	case long.tier < short.tier:
		return max(engines, min(long.enginesNeeded(), count))
	}
	return engines
}

// sideLoad sums up the work of the rules of one side.
type sideLoad struct {
	// work is in seconds of engine time and decays with workDecay; requests, and promptTokens,
	// the total length of their prompts, decay with lengthDecay.
	work         float64
	requests     float64
	promptTokens float64
	// prefill is the part of work spent on prefill.
	prefill float64
	// tier is the highest tier of the rules.
	tier  int
	rules int
}

// enginesNeeded returns how many engines the side needs to keep its prefill utilisation at
// maxPrefillUtilisation, so that requests hardly wait for prefill.
func (sideLoad *sideLoad) enginesNeeded() float64 {
	return (sideLoad.work + sideLoad.prefill*(1/maxPrefillUtilisation-1)) / workDecay.Seconds()
}

func (sideLoad *sideLoad) add(kind messenger.KindWork) {
	if sideLoad.rules == 0 || kind.Tier < sideLoad.tier {
		sideLoad.tier = kind.Tier
	}
	sideLoad.rules++
	sideLoad.work += kind.Work.Seconds()
	sideLoad.prefill += kind.Reading.Seconds()
	sideLoad.requests += kind.Requests
	sideLoad.promptTokens += kind.PromptTokens
}

// side returns a side of that many engines, with the load of each.
func (sideLoad *sideLoad) side(engines float64) *side {
	side := &side{}
	if engines > 0 {
		side.arrivals = sideLoad.requests / lengthDecay.Seconds() / engines
		side.utilisation = sideLoad.work / workDecay.Seconds() / engines
	}
	if sideLoad.requests > 0 {
		side.meanPrompt = sideLoad.promptTokens / sideLoad.requests
	}
	return side
}

// report returns the work of this node's own requests, by rule.
func (partition *partition) report(now time.Time, service definer.PoolName) []messenger.KindWork {
	return slices.AppendSeq([]messenger.KindWork(nil), partition.kinds(now, service))
}

// kinds iterates over the work of this node's own requests by rule. It removes the rules that have
// not been used for long: configurations change, and each rule takes space in reports.
func (partition *partition) kinds(now time.Time, service definer.PoolName) iter.Seq[messenger.KindWork] {
	return func(yield func(messenger.KindWork) bool) {
		for name, ruleWork := range partition.rules {
			if ruleWork.unused(now) {
				delete(partition.rules, name)
				continue
			}
			if !yield(ruleWork.kind(now, service, name)) {
				return
			}
		}
	}
}

// unused reports whether the rule has not been used for long.
func (ruleWork *ruleWork) unused(now time.Time) bool {
	return ruleWork.decoding < decodingTolerance && decay(ruleWork.requests, now.Sub(ruleWork.lengthAt), lengthDecay) < minRequests
}

// kind returns the work of this node's requests as it is reported.
func (ruleWork *ruleWork) kind(now time.Time, service definer.PoolName, rule string) messenger.KindWork {
	fill := ruleWork.decayFill(now)
	return messenger.KindWork{
		Service:      service,
		Rule:         rule,
		Tier:         ruleWork.tier,
		GapObjective: ruleWork.gapObjective,
		Reading:      time.Duration(decay(ruleWork.prefill, now.Sub(ruleWork.prefillAt), workDecay) / fill * float64(time.Second)),
		Work:         time.Duration(ruleWork.workAtTime(now) / fill * float64(time.Second)),
		PromptTokens: decay(ruleWork.promptTokens, now.Sub(ruleWork.lengthAt), lengthDecay),
		Requests:     decay(ruleWork.requests, now.Sub(ruleWork.lengthAt), lengthDecay),
	}
}

// addTo adds the work of this node's own requests to the sums by rule.
func (partition *partition) addTo(kinds map[string]messenger.KindWork, now time.Time) {
	for work := range partition.kinds(now, "") {
		kinds[work.Rule] = work.Plus(kinds[work.Rule])
	}
}

// meanLength returns the mean prompt length of a rule in tokens, 0 if it had no requests.
func meanLength(kind messenger.KindWork) float64 {
	if kind.Requests <= 0 {
		return 0
	}
	return kind.PromptTokens / kind.Requests
}

// lengthLimit returns the prompt length that separates the rules: the geometric mean of the two
// mean lengths on either side of the widest relative gap, or 0 if no gap reaches
// minLengthRatio.
func lengthLimit(kinds map[string]messenger.KindWork) float64 {
	var means []float64
	for _, kind := range kinds {
		if mean := meanLength(kind); mean > 0 {
			means = append(means, mean)
		}
	}
	slices.Sort(means)
	widest, limit := minLengthRatio, 0.0
	for index := 1; index < len(means); index++ {
		if ratio := means[index] / means[index-1]; ratio >= widest {
			widest, limit = ratio, math.Sqrt(means[index]*means[index-1])
		}
	}
	return limit
}

// String returns the side and the boundary for logs.
func (side *side) String() string {
	switch {
	case side == nil || !side.divided:
		return "none"
	case side.long:
		return fmt.Sprintf("long<%.0f", side.boundary)
	default:
		return fmt.Sprintf("short>=%.0f", side.boundary)
	}
}

// share returns how much of the candidate with the index belongs to the side, 0 to 1.
func (side *side) share(index int) float64 {
	if side == nil || !side.divided {
		return 1
	}
	long := math.Min(math.Max(side.boundary-float64(side.order[index]), 0), 1)
	if side.long {
		return long
	}
	return 1 - long
}
