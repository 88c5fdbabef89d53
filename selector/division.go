package selector

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/ranker"
	"limpetcleat/registrar"
)

// An engine reads long prompts between the tokens of all the answers it writes,
// so a long prompt beside a short answer makes that answer pause. The kinds of
// request of a service are therefore kept apart: its engines stand in an order
// that all nodes find alike, those with long prompts take them from the front,
// the others from the back, and the boundary follows the work that each side
// has had lately.

const (
	// divisionMemory is how long work counts for the boundary: it falls to 1/e in
	// it. Bursts last 4 to 9 s; 1.5 to 16 s are within noise of each other.
	divisionMemory = 2500 * time.Millisecond
	// leastSpan is the least time that a kind's work is taken to stand for: in less, a
	// few requests would count as many.
	leastSpan = 500 * time.Millisecond
	// lengthMemory is the same for the length of a kind's prompts.
	lengthMemory = 20 * time.Second
	// divisionRatio is how many times as long the prompts of one side must be for
	// the sides to be kept apart.
	divisionRatio = 2.0
	// forgottenRequests is the faded number of requests below which a kind without
	// any under way is forgotten: a rule that was asked once is after a minute.
	forgottenRequests = 0.05
	// roomyShare is how busy reading is to keep the engines of the side with the higher
	// tier at most: at 0.6 a request waits on average three quarters of what one takes.
	roomyShare = 0.6
	// noWriting is what rounding may leave of writing when no answer is under way.
	noWriting = 1e-6
	// crossingCost is what it costs to put a request on the other side. Of 250,
	// 700, 1,500 and 2,000 ms 700 was best or within noise with 8 nodes and 12 to 18
	// engines; in the model of a cold burst 300 to 1,500 differ by 0.01.
	crossingCost = 700 * time.Millisecond
)

// kind is what is known of the requests of one rule.
type kind struct {
	// since is when the first of them came.
	since time.Time
	// tier is the rule's rank; 0 is the highest.
	tier int
	// reading is the part of work that is reading prompts, fading alike.
	reading   float64
	readingAt time.Time
	// patience is how long their callers wait.
	patience patience
	// work is the time that engines spent on them, in seconds, fading.
	work   float64
	workAt time.Time
	// writing is how many engines the answers under way occupy: each one its
	// part of its engine's slots.
	writing float64
	// tokens and count make the mean length of their prompts, fading.
	tokens   float64
	count    float64
	lengthAt time.Time
}

// addWork adds the time that an engine spends on reading a prompt.
func (kind *kind) addWork(now time.Time, work time.Duration) {
	kind.work = kind.workUntil(now) + work.Seconds()
	kind.workAt = now
	kind.reading = fade(kind.reading, now.Sub(kind.readingAt), divisionMemory) + work.Seconds()
	kind.readingAt = now
}

// filled returns the part of divisionMemory that the kind's work stands for. A sum that
// has faded for less than its memory tells of less: taken as it is, one second of a
// kind's requests looked like a third of their work, and the higher tier had a third of
// the engines that it needed when all nodes had just started.
func (kind *kind) filled(now time.Time) float64 {
	span := max(now.Sub(kind.since), leastSpan)
	return 1 - math.Exp(-span.Seconds()/divisionMemory.Seconds())
}

// addWriting adds answers under way, or takes them off.
func (kind *kind) addWriting(now time.Time, engines float64) {
	kind.work = kind.workUntil(now)
	kind.workAt = now
	kind.writing += engines
}

// workUntil returns the work, with what the answers under way took since.
func (kind *kind) workUntil(now time.Time) float64 {
	span := now.Sub(kind.workAt)
	if kind.workAt.IsZero() {
		return 0
	}
	return fade(kind.work+kind.writing*span.Seconds(), span, divisionMemory)
}

func (kind *kind) addPrompt(now time.Time, tokens int) {
	age := now.Sub(kind.lengthAt)
	kind.tokens = fade(kind.tokens, age, lengthMemory) + float64(tokens)
	kind.count = fade(kind.count, age, lengthMemory) + 1
	kind.lengthAt = now
}

// division is what is known of the kinds of one service.
type division struct {
	kinds map[string]*kind
}

func (division *division) of(name string) *kind {
	known, ok := division.kinds[name]
	if !ok {
		known = &kind{}
		division.kinds[name] = known
	}
	return known
}

// side is the part of a service's engines that a request belongs to.
type side struct {
	// order holds the engines' places, the same on all nodes.
	order map[definer.UpstreamName]int
	// boundary is the place up to which engines read long prompts; a part of an
	// engine belongs to both sides.
	boundary float64
	// long tells whether the request is one with a long prompt.
	long bool
	// divided tells whether the kinds are kept apart; if not, all engines belong to
	// the request's side.
	divided bool
	// arrivals is how many requests an engine of the side gets in a second, busy the
	// part of its time that they take, and prompt the mean length of their prompts.
	arrivals float64
	busy     float64
	prompt   float64
}

// side returns where a kind of request belongs.
func (division *division) side(now time.Time, demand *Demand, others []messenger.KindWork) *side {
	kinds := division.sum(now, others)
	limit := limit(kinds)
	count := float64(len(demand.Candidates))
	long, short := kindSum{}, kindSum{}
	for _, kind := range kinds {
		if limit > 0 && mean(kind) > limit {
			long.add(kind)
			continue
		}
		short.add(kind)
	}
	work := long.work + short.work
	if limit == 0 || count < 2 || work == 0 {
		return short.side(count)
	}
	boundary := math.Min(math.Max(math.Round(divide(long, short, count)), 1), count-1)
	divided := short.side(count - boundary)
	length := mean(kinds[demand.Kind])
	if length == 0 {
		length = float64(demand.PromptTokens) // It is the first of its kind.
	}
	if length > limit {
		divided = long.side(boundary)
		divided.long = true
	}
	divided.divided = true
	divided.order, divided.boundary = places(demand.Candidates), boundary
	return divided
}

// divide returns how many engines those with long prompts get: by the work of both
// sides, but so that the side with the higher tier has room to read first.
func divide(long, short kindSum, count float64) float64 {
	engines := long.work / (long.work + short.work) * count
	switch {
	case short.tier < long.tier:
		return min(engines, count-short.room())
	case long.tier < short.tier:
		return max(engines, min(long.room(), count))
	}
	return engines
}

// kindSum adds up what the kinds of one side take.
type kindSum struct {
	// work is in seconds and fades in divisionMemory; requests and tokens, those of
	// their prompts, fade in lengthMemory.
	work     float64
	requests float64
	tokens   float64
	// reading is the part of work that is reading prompts.
	reading float64
	// tier is the highest of the kinds.
	tier  int
	kinds int
}

// room returns how many engines the side needs so that its requests hardly wait to be
// read.
func (kindSum *kindSum) room() float64 {
	return (kindSum.work + kindSum.reading*(1/roomyShare-1)) / divisionMemory.Seconds()
}

func (kindSum *kindSum) add(kind messenger.KindWork) {
	if kindSum.kinds == 0 || kind.Tier < kindSum.tier {
		kindSum.tier = kind.Tier
	}
	kindSum.kinds++
	kindSum.work += kind.Work.Seconds()
	kindSum.reading += kind.Reading.Seconds()
	kindSum.requests += kind.Requests
	kindSum.tokens += kind.PromptTokens
}

// side returns what the work is for each of so many engines.
func (kindSum *kindSum) side(engines float64) *side {
	side := &side{}
	if engines > 0 {
		side.arrivals = kindSum.requests / lengthMemory.Seconds() / engines
		side.busy = kindSum.work / divisionMemory.Seconds() / engines
	}
	if kindSum.requests > 0 {
		side.prompt = kindSum.tokens / kindSum.requests
	}
	return side
}

// report returns this node's own sums. Kinds that have not been asked for in long
// are forgotten: configurations come and go, and each kind takes room in reports.
func (division *division) report(now time.Time, service definer.PoolName) []messenger.KindWork {
	var report []messenger.KindWork
	for name, kind := range division.kinds {
		if kind.writing < noWriting && fade(kind.count, now.Sub(kind.lengthAt), lengthMemory) < forgottenRequests {
			delete(division.kinds, name)
			continue
		}
		filled := kind.filled(now)
		report = append(report, messenger.KindWork{
			Service:      service,
			Rule:         name,
			Tier:         kind.tier,
			Reading:      time.Duration(fade(kind.reading, now.Sub(kind.readingAt), divisionMemory) / filled * float64(time.Second)),
			Work:         time.Duration(kind.workUntil(now) / filled * float64(time.Second)),
			PromptTokens: fade(kind.tokens, now.Sub(kind.lengthAt), lengthMemory),
			Requests:     fade(kind.count, now.Sub(kind.lengthAt), lengthMemory),
		})
	}
	return report
}

// sum adds what others report to this node's own sums, by rule.
func (division *division) sum(now time.Time, others []messenger.KindWork) map[string]messenger.KindWork {
	kinds := make(map[string]messenger.KindWork)
	for _, work := range append(division.report(now, ""), others...) {
		kinds[work.Rule] = work.Plus(kinds[work.Rule])
	}
	return kinds
}

// mean returns the mean length of the prompts of a kind.
func mean(kind messenger.KindWork) float64 {
	if kind.Requests <= 0 {
		return 0
	}
	return kind.PromptTokens / kind.Requests
}

// limit returns the length of prompts that separates the kinds, in the widest
// gap between their means, or 0 when none is wide enough.
func limit(kinds map[string]messenger.KindWork) float64 {
	var means []float64
	for _, kind := range kinds {
		if mean := mean(kind); mean > 0 {
			means = append(means, mean)
		}
	}
	slices.Sort(means)
	widest, limit := divisionRatio, 0.0
	for index := 1; index < len(means); index++ {
		if ratio := means[index] / means[index-1]; ratio >= widest {
			widest, limit = ratio, math.Sqrt(means[index]*means[index-1])
		}
	}
	return limit
}

// places numbers the engines by a hash of their names.
func places(candidates []*registrar.Upstream) map[definer.UpstreamName]int {
	type placed struct {
		id     definer.UpstreamName
		weight uint64
	}
	sorted := make([]placed, 0, len(candidates))
	for _, upstream := range candidates {
		sorted = append(sorted, placed{upstream.ID, ranker.Weight("", string(upstream.ID))})
	}
	slices.SortFunc(sorted, func(left, right placed) int { return cmp.Compare(left.weight, right.weight) })
	order := make(map[definer.UpstreamName]int, len(sorted))
	for place, upstream := range sorted {
		order[upstream.id] = place
	}
	return order
}

// String tells the boundary and the side, for logs.
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

// share returns how much of an engine belongs to the request's side, 0 to 1.
func (side *side) share(id definer.UpstreamName) float64 {
	if side == nil || !side.divided {
		return 1
	}
	long := math.Min(math.Max(side.boundary-float64(side.order[id]), 0), 1)
	if side.long {
		return long
	}
	return 1 - long
}
