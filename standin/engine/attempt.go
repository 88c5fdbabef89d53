package engine

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// The headers of an attempt and its answer.
const (
	HeaderAttemptID    = "X-Attempt-Id"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderPreemptible  = "X-Preemptible"
	HeaderNotRun       = "X-Not-Run"
)

// lowestPriority is that of an attempt without the header.
const lowestPriority = 100

// attempt is one request to compute an answer, as its headers and body ask for
// it.
type attempt struct {
	id          string
	body        body
	prompt      string
	priority    int
	preemptible bool
	// offset is the first token wanted; resume says that the header gave it.
	offset int
	resume bool
}

func newAttempt(header http.Header, raw []byte) (*attempt, error) {
	body, err := parseBody(raw)
	if err != nil {
		return nil, err
	}
	attempt := &attempt{id: header.Get(HeaderAttemptID), body: body, prompt: body.prompt(), priority: lowestPriority}
	if attempt.id == "" {
		attempt.id = uuid.NewString()
	}
	attempt.preemptible = header.Get(HeaderPreemptible) == "1"
	if err := readInt(header, HeaderPriority, &attempt.priority); err != nil {
		return nil, err
	}
	attempt.resume = header.Get(HeaderResumeOffset) != ""
	if err := readInt(header, HeaderResumeOffset, &attempt.offset); err != nil {
		return nil, err
	}
	if limit, ok := body.limit(); ok && limit <= 0 {
		return nil, invalid("the bound on tokens must be positive")
	}
	return attempt, nil
}

func readInt(header http.Header, name string, target *int) error {
	text := header.Get(name)
	if text == "" {
		return nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return invalid(name + " must be a whole number from 0")
	}
	*target = value
	return nil
}

func invalid(message string) *Error {
	return &Error{Operation: "parse", Kind: KindInvalid, Err: errors.New(message)}
}

// sequence returns the attempt as a new sequence.
func (attempt *attempt) sequence(lengths lengthRule) *sequence {
	text := newText(attempt.body.Model, attempt.prompt)
	length := lengths.length(text, attempt.prompt)
	natural := true
	if limit, ok := attempt.body.limit(); ok && limit < length {
		length = limit
		natural = false
	}
	return &sequence{
		attemptID:    attempt.id,
		model:        attempt.body.Model,
		prompt:       attempt.prompt,
		text:         text,
		promptTokens: PromptTokens(attempt.prompt),
		priority:     attempt.priority,
		preemptible:  attempt.preemptible,
		first:        attempt.offset,
		next:         attempt.offset,
		sent:         attempt.offset,
		length:       length,
		natural:      natural,
	}
}

// submit takes the attempt in or refuses it. The returned reader reads its
// tokens, with the faults that were ordered for it.
func (engine *Engine) submit(attempt *attempt) (*reader, plan, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.wakeLoop()
	record, known := engine.records.find(attempt.id)
	ran := known && record.Started
	if take(&engine.faults.FailBefore) {
		return nil, plan{}, &Error{Operation: "submit", Kind: KindInjected, ran: ran}
	}
	reader, err := engine.resumeLocked(attempt)
	if reader == nil && err == nil {
		reader, err = engine.admitLocked(attempt)
	}
	if err != nil {
		err.ran = ran
		return nil, plan{}, err
	}
	ordered := engine.faults.plan(attempt, engine.lastAttempt)
	engine.lastAttempt = attempt.id
	return reader, ordered, nil
}

// resumeLocked gives a kept sequence its new reader. It returns no reader when
// none is kept.
func (engine *Engine) resumeLocked(attempt *attempt) (*reader, *Error) {
	kept, found := engine.batch.byAttempt[attempt.id]
	if !attempt.resume || !found {
		return nil, nil
	}
	if kept.prompt != attempt.prompt || kept.model != attempt.body.Model {
		return nil, invalid("the kept sequence has another prompt or model")
	}
	if attempt.offset < kept.first || attempt.offset > kept.next {
		return nil, invalid("the kept sequence does not have the offset")
	}
	reader := kept.attach()
	if kept.state == stateParked {
		engine.batch.enqueue(kept)
		engine.fillLocked(time.Now())
	}
	return reader, nil
}

// admitLocked puts a new sequence in the queue or refuses it.
func (engine *Engine) admitLocked(attempt *attempt) (*reader, *Error) {
	if engine.leaving {
		return nil, &Error{Operation: "submit", Kind: KindLeaving}
	}
	if !slices.Contains(engine.models, attempt.body.Model) {
		return nil, &Error{Operation: "submit", Kind: KindUnknownModel}
	}
	if _, known := engine.records.find(attempt.id); known && !attempt.resume {
		return nil, &Error{Operation: "submit", Kind: KindDuplicate}
	}
	entering := attempt.sequence(engine.lengths)
	if entering.first > entering.length {
		return nil, invalid("the offset is past the end of the answer")
	}
	now := time.Now()
	entering.arrival = engine.arrivals
	entering.record = engine.records.draft(attempt.id, attempt.priority)
	engine.batch.enqueue(entering)
	engine.fillLocked(now)
	if !entering.started && engine.batch.fresh() > engine.options.queueBound {
		engine.batch.remove(entering)
		return nil, &Error{Operation: "submit", Kind: KindQueueFull}
	}
	engine.arrivals++
	engine.records.keep(entering.record)
	engine.batch.byAttempt[attempt.id] = entering
	engine.publishLocked(now)
	return entering.attach(), nil
}
