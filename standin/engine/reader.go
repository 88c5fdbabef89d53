package engine

import "time"

// snapshot is the state of a sequence at one time, as one of its readers sees it.
type snapshot struct {
	// next is the index of the first token that is not computed yet.
	next    int
	pauses  int
	resumes int
	state   state
	started bool
	// replaced reports whether the reader is no longer attached to the sequence.
	replaced bool
}

func (engine *Engine) snapshot(reader *reader) snapshot {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	sequence := reader.sequence
	return snapshot{
		next:     sequence.next,
		pauses:   sequence.pauses,
		resumes:  sequence.resumes,
		state:    sequence.state,
		started:  sequence.started,
		replaced: sequence.reader != reader,
	}
}

// recordSent records that the tokens before end have been written to the client.
func (engine *Engine) recordSent(reader *reader, end int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	sequence := reader.sequence
	if end <= sequence.sent {
		return
	}
	sequence.record.Sent += end - sequence.sent
	sequence.sent = end
}

// detach ends the reader's use of its sequence. The sequence stays resumable for the resume grace
// period, even if it is finished, because its last bytes may not have reached the client. A
// sequence that never started is dropped at once. A replaced reader has no effect.
func (engine *Engine) detach(reader *reader) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.notifyLoop()
	sequence := reader.sequence
	if sequence.reader != reader {
		return
	}
	now := time.Now()
	sequence.reader = nil
	sequence.detachedAt = now
	if !sequence.started {
		engine.dropLocked(sequence, now)
		return
	}
	engine.detached = append(engine.detached, detachedSequence{sequence: sequence, detachedAt: now})
}

// CancelResult is the response to POST /cancel.
type CancelResult struct {
	// State is cancelled, done or unknown.
	State string `json:"state"`
	// Tokens is the number of tokens computed for the attempt.
	Tokens int `json:"tokens"`
}

func (engine *Engine) cancel(attemptID string) CancelResult {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.notifyLoop()
	record, found := engine.recorder.find(attemptID)
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
