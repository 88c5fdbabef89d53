package simulator

import (
	"container/list"
	"slices"
	"time"

	"limpetcleat/selector"
)

// EngineSettings is the performance model of one engine.
type EngineSettings struct {
	// Slots is the number of requests that the engine can decode concurrently.
	Slots int
	// CacheTokens is the memory capacity in tokens, shared by running requests and the prefix
	// cache.
	CacheTokens int
	// PrefillTokensPerMillisecond is the prefill throughput in prompt tokens.
	PrefillTokensPerMillisecond float64
	// StepTime is the base duration of a step, which decodes one token of each running request;
	// StepTimePerRequest is added for each running request.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// ChunkTokens is the maximum number of prompt tokens that a step prefills.
	ChunkTokens int
	// EventTokens is the number of answer tokens in an event of a stream; 0 means one.
	EventTokens int
	// BaseLatency is the part of the time to the first event that depends on nothing else.
	BaseLatency time.Duration
	// Speeds are the speeds of the engines relative to these settings; engine i has the speed
	// i modulo their number. Empty means that all engines have these settings.
	Speeds []float64
}

// of returns the settings of the engine with the index.
func (settings EngineSettings) of(index int) EngineSettings {
	if len(settings.Speeds) == 0 {
		return settings
	}
	return settings.slowed(1 / settings.Speeds[index%len(settings.Speeds)])
}

// slowed returns the settings of an engine that needs the factor times as long for everything.
func (settings EngineSettings) slowed(factor float64) EngineSettings {
	settings.PrefillTokensPerMillisecond /= factor
	settings.StepTime = time.Duration(factor * float64(settings.StepTime))
	settings.StepTimePerRequest = time.Duration(factor * float64(settings.StepTimePerRequest))
	return settings
}

// sequence is the state of one request at an engine.
type sequence struct {
	request *request
	// prefillLeft is the number of prompt tokens still to be prefilled, outputLeft the number of
	// answer tokens still to be decoded.
	prefillLeft int
	outputLeft  float64
}

// engine models an engine with chunked prefill. It prefills one prompt at a time, in order of
// priority, and each step also decodes one token of each running answer.
type engine struct {
	settings   EngineSettings
	queue      []*sequence
	prefilling *sequence
	decoding   []*sequence
	// cache is the prefix cache, a list of selector.Part with the most recently used in front;
	// cacheIndex maps part IDs to elements of the list.
	cache      *list.List
	cacheIndex map[string]*list.Element
	// timeBudget is the simulated time that is not yet used; it is negative while a step extends
	// past the current tick.
	timeBudget time.Duration
	// freeTokens is the memory used by neither the prefix cache nor sequences; it is negative if
	// the sequences exceed the capacity.
	freeTokens int
	// prefilledTokens counts the prompt tokens prefilled, and repeatedTokens those among them that
	// belong to shared parts which some engine had prefilled before.
	prefilledTokens int
	repeatedTokens  int
}

func newEngine(settings EngineSettings) *engine {
	return &engine{settings: settings, cache: list.New(), cacheIndex: make(map[string]*list.Element), freeTokens: settings.CacheTokens}
}

// enqueue adds a request to the queue, after all requests of the same or a more urgent priority.
func (engine *engine) enqueue(request *request) {
	index := slices.IndexFunc(engine.queue, func(other *sequence) bool { return other.request.priority > request.priority })
	if index < 0 {
		index = len(engine.queue)
	}
	engine.queue = slices.Insert(engine.queue, index, &sequence{request: request})
}

// advance runs the engine for a duration; prefilledParts has the IDs of the parts that any engine
// has prefilled.
func (engine *engine) advance(now time.Time, duration time.Duration, prefilledParts map[string]bool) {
	engine.timeBudget += duration
	for engine.timeBudget > 0 {
		engine.startNext(prefilledParts)
		if engine.prefilling == nil && len(engine.decoding) == 0 {
			engine.timeBudget = 0
			return
		}
		engine.timeBudget -= engine.step(now)
	}
}

// startNext starts the prefill of the first request in the queue, if the engine is not prefilling
// another prompt and has a free slot.
func (engine *engine) startNext(prefilledParts map[string]bool) {
	if engine.prefilling != nil || len(engine.queue) == 0 || len(engine.decoding) >= engine.settings.Slots {
		return
	}
	sequence := engine.queue[0]
	engine.queue = engine.queue[1:]
	engine.prefilling = sequence
	sequence.prefillLeft = sequence.request.promptTokens
	for _, part := range sequence.request.parts {
		if engine.usePart(part) {
			sequence.prefillLeft -= part.Tokens
			continue
		}
		if prefilledParts[part.ID] {
			engine.repeatedTokens += part.Tokens
		}
		prefilledParts[part.ID] = true
	}
	engine.prefilledTokens += sequence.prefillLeft
	sequence.outputLeft = float64(sequence.request.outputTokens)
	engine.reserve(sequence.request.uniqueTokens() + sequence.request.outputTokens)
}

// usePart marks a part as most recently used and reports whether it was in the prefix cache; a part
// that was not is added.
func (engine *engine) usePart(part selector.Part) bool {
	if element, ok := engine.cacheIndex[part.ID]; ok {
		engine.cache.MoveToFront(element)
		return true
	}
	engine.reserve(part.Tokens)
	engine.cacheIndex[part.ID] = engine.cache.PushFront(part)
	return false
}

// reserve allocates memory and evicts the least recently used parts as needed.
func (engine *engine) reserve(tokens int) {
	engine.freeTokens -= tokens
	for engine.freeTokens < 0 && engine.cache.Len() > 0 {
		element := engine.cache.Back()
		part, ok := engine.cache.Remove(element).(selector.Part)
		if !ok {
			return // The list has only values of type selector.Part.
		}
		delete(engine.cacheIndex, part.ID)
		engine.freeTokens += part.Tokens
	}
}

// step prefills a chunk, decodes one token of each running answer and returns the duration.
func (engine *engine) step(now time.Time) time.Duration {
	settings := &engine.settings
	elapsed := settings.StepTime + settings.StepTimePerRequest*time.Duration(len(engine.decoding))
	for _, sequence := range engine.decoding {
		sequence.outputLeft--
	}
	decoded := len(engine.decoding)
	if sequence := engine.prefilling; sequence != nil {
		chunk := min(sequence.prefillLeft, settings.ChunkTokens)
		sequence.prefillLeft -= chunk
		elapsed += time.Duration(float64(chunk) / settings.PrefillTokensPerMillisecond * float64(time.Millisecond))
		if sequence.prefillLeft <= 0 {
			sequence.request.recordFirstEvent(now.Add(elapsed + settings.BaseLatency))
			engine.decoding = append(engine.decoding, sequence)
			engine.prefilling = nil
		}
	}
	for _, sequence := range engine.decoding[:decoded] {
		if tokens := sequence.request.outputTokens - int(sequence.outputLeft); tokens%max(settings.EventTokens, 1) == 0 {
			sequence.request.recordEvent(now.Add(elapsed + settings.BaseLatency))
		}
	}
	engine.decoding = slices.DeleteFunc(engine.decoding, func(sequence *sequence) bool {
		if sequence.outputLeft > 0 && !sequence.request.ended {
			return false
		}
		engine.freeTokens += sequence.request.uniqueTokens() + sequence.request.outputTokens
		sequence.request.finish(now)
		return true
	})
	return elapsed
}

// dropEnded removes requests that have ended from the queue, such as those that timed out.
func (engine *engine) dropEnded() {
	engine.queue = slices.DeleteFunc(engine.queue, func(sequence *sequence) bool { return sequence.request.ended })
}
