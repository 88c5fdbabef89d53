package engine

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// Headers of requests and responses.
const (
	HeaderAttemptID    = "X-Attempt-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderPreemptible  = "X-Preemptible"
	HeaderNotRun       = "X-Not-Run"
)

// defaultPriority applies to a request without HeaderPriority; 0 is the most urgent.
const defaultPriority = 100

// attempt is a parsed completion request.
type attempt struct {
	id          string
	body        body
	prompt      string
	priority    int
	preemptible bool
	// offset is the index of the first requested token; resuming reports whether HeaderResumeOffset
	// was present.
	offset   int
	resuming bool
}

func newAttempt(header http.Header, raw []byte) (*attempt, error) {
	body, err := parseBody(raw)
	if err != nil {
		return nil, err
	}
	attempt := &attempt{id: header.Get(HeaderAttemptID), body: body, prompt: body.prompt(), priority: defaultPriority}
	if attempt.id == "" {
		attempt.id = uuid.NewString()
	}
	attempt.preemptible = header.Get(HeaderPreemptible) == "1"
	if err := parseIntHeader(header, HeaderPriority, &attempt.priority); err != nil {
		return nil, err
	}
	attempt.resuming = header.Get(HeaderResumeOffset) != ""
	if err := parseIntHeader(header, HeaderResumeOffset, &attempt.offset); err != nil {
		return nil, err
	}
	if limit, ok := body.maxTokens(); ok && limit <= 0 {
		return nil, invalidRequest("the bound on tokens must be positive")
	}
	return attempt, nil
}

func parseIntHeader(header http.Header, name string, target *int) error {
	text := header.Get(name)
	if text == "" {
		return nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return invalidRequest(name + " must be a whole number from 0")
	}
	*target = value
	return nil
}

func invalidRequest(message string) *Error {
	return &Error{Operation: "parse", Kind: KindInvalid, Err: errors.New(message)}
}

// newSequence returns a sequence for the attempt, not yet queued.
func (attempt *attempt) newSequence(rule lengthRule) *sequence {
	text := newResponseText(attempt.body.Model, attempt.prompt)
	length := rule.responseLength(text, attempt.prompt)
	endsNaturally := true
	if limit, ok := attempt.body.maxTokens(); ok && limit < length {
		length = limit
		endsNaturally = false
	}
	return &sequence{
		attemptID:     attempt.id,
		model:         attempt.body.Model,
		prompt:        attempt.prompt,
		text:          text,
		promptTokens:  CountPromptTokens(attempt.prompt),
		priority:      attempt.priority,
		preemptible:   attempt.preemptible,
		first:         attempt.offset,
		next:          attempt.offset,
		sent:          attempt.offset,
		length:        length,
		endsNaturally: endsNaturally,
	}
}

// submit resumes the sequence of the attempt, queues a new one or returns an *Error. It also
// returns the faults to inject into the response.
func (engine *Engine) submit(attempt *attempt) (*reader, faultPlan, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.notifyLoop()
	record, known := engine.recorder.find(attempt.id)
	ran := known && record.Started
	if consume(&engine.faults.FailBefore) {
		return nil, faultPlan{}, &Error{Operation: "submit", Kind: KindInjected, ran: ran}
	}
	reader, err := engine.resumeLocked(attempt)
	if reader == nil && err == nil {
		reader, err = engine.admitLocked(attempt)
	}
	if err != nil {
		err.ran = ran
		return nil, faultPlan{}, err
	}
	plan := engine.faults.plan(attempt, engine.lastAttempt)
	engine.lastAttempt = attempt.id
	return reader, plan, nil
}

// resumeLocked attaches a new reader to the existing sequence of a resuming attempt. It returns
// nil, nil if the attempt does not resume or its sequence is gone.
func (engine *Engine) resumeLocked(attempt *attempt) (*reader, *Error) {
	existing, found := engine.batch.byAttempt[attempt.id]
	if !attempt.resuming || !found {
		return nil, nil
	}
	if existing.prompt != attempt.prompt || existing.model != attempt.body.Model {
		return nil, invalidRequest("the kept sequence has another prompt or model")
	}
	if attempt.offset < existing.first || attempt.offset > existing.next {
		return nil, invalidRequest("the kept sequence does not have the offset")
	}
	reader := existing.attach()
	if existing.state == stateSuspended {
		engine.batch.enqueue(existing)
		engine.scheduleLocked(time.Now())
	}
	return reader, nil
}

// admitLocked queues a new sequence, and starts it if there is room. It refuses an attempt that is
// invalid, a duplicate or for an unknown model, and any attempt while the engine is leaving or the
// queue is full.
func (engine *Engine) admitLocked(attempt *attempt) (*reader, *Error) {
	if engine.leaving {
		return nil, &Error{Operation: "submit", Kind: KindLeaving}
	}
	if !slices.Contains(engine.models, attempt.body.Model) {
		return nil, &Error{Operation: "submit", Kind: KindUnknownModel}
	}
	if _, known := engine.recorder.find(attempt.id); known && !attempt.resuming {
		return nil, &Error{Operation: "submit", Kind: KindDuplicate}
	}
	sequence := attempt.newSequence(engine.lengthRule)
	if sequence.first > sequence.length {
		return nil, invalidRequest("the offset is past the end of the answer")
	}
	now := time.Now()
	sequence.arrival = engine.nextArrival
	sequence.record = engine.recorder.findOrCreate(attempt.id, attempt.priority)
	engine.batch.enqueue(sequence)
	engine.scheduleLocked(now)
	if !sequence.started && engine.batch.countUnstarted() > engine.options.maxQueued {
		engine.batch.remove(sequence)
		return nil, &Error{Operation: "submit", Kind: KindQueueFull}
	}
	engine.nextArrival++
	engine.recorder.add(sequence.record)
	engine.batch.byAttempt[attempt.id] = sequence
	engine.publishLoadLocked(now)
	return sequence.attach(), nil
}
