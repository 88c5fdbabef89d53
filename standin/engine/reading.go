package engine

import "time"

// view is what a reader may see of its sequence at one time.
type view struct {
	// next is the first token that is not computed.
	next    int
	pauses  int
	resumes int
	state   state
	started bool
	// replaced is true once another reader has the sequence.
	replaced bool
}

func (engine *Engine) view(reader *reader) view {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	sequence := reader.sequence
	return view{
		next:     sequence.next,
		pauses:   sequence.pauses,
		resumes:  sequence.resumes,
		state:    sequence.state,
		started:  sequence.started,
		replaced: sequence.reader != reader,
	}
}

// sent records that the client was sent the tokens before end.
func (engine *Engine) sent(reader *reader, end int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	sequence := reader.sequence
	if end <= sequence.sent {
		return
	}
	sequence.record.Sent += end - sequence.sent
	sequence.sent = end
}

// leave notes that the reader is gone. Its sequence is kept for the grace, also
// a finished one, whose last bytes may not have arrived; one that never started
// is dropped at once.
func (engine *Engine) leave(reader *reader) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.wakeLoop()
	sequence := reader.sequence
	if sequence.reader != reader {
		return
	}
	now := time.Now()
	sequence.reader = nil
	sequence.leftAt = now
	if !sequence.started {
		engine.dropLocked(sequence, now)
		return
	}
	engine.kept = append(engine.kept, keptSequence{sequence: sequence, leftAt: now})
}

// CancelResult is the answer to POST /cancel.
type CancelResult struct {
	// State is cancelled, done or unknown.
	State  string `json:"state"`
	Tokens int    `json:"tokens"`
}

func (engine *Engine) cancel(attemptID string) CancelResult {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.wakeLoop()
	record, found := engine.records.find(attemptID)
	if !found {
		return CancelResult{State: "unknown"}
	}
	sequence, active := engine.batch.byAttempt[attemptID]
	if active && !sequence.ended() {
		engine.dropLocked(sequence, time.Now())
	}
	if record.Finished {
		return CancelResult{State: "done", Tokens: record.Tokens}
	}
	return CancelResult{State: "cancelled", Tokens: record.Tokens}
}
