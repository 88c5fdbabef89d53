package engine

import "time"

// state is where a sequence stands in the batch.
type state int

const (
	// stateWaiting is in the queue, not begun or paused.
	stateWaiting state = iota
	stateRunning
	// stateParked has no client and a full buffer.
	stateParked
	stateFinished
	stateCancelled
)

// sequence is one answer being computed.
type sequence struct {
	attemptID    string
	model        string
	prompt       string
	text         text
	promptTokens int
	cachedTokens int
	priority     int
	preemptible  bool
	arrival      uint64
	// first is the first token computed here, next the one to compute; first <=
	// next <= length.
	first  int
	next   int
	length int
	// natural is true when the answer ends by itself and not by the caller's bound.
	natural bool
	// sent is the first token that no client was sent.
	sent    int
	state   state
	started bool
	// prefill is what is left of it while the sequence does not run; readyAt is
	// its end otherwise.
	prefill time.Duration
	readyAt time.Time
	pauses  int
	resumes int
	// reader is the one client that may read, nil when it has left at leftAt.
	reader *reader
	leftAt time.Time
	record *Record
}

// reader is one client's end of a sequence.
type reader struct {
	sequence *sequence
	// changed holds one note at most.
	changed chan struct{}
	// pauses and resumes are the sequence's at the time of attaching.
	pauses  int
	resumes int
}

// attach makes a new reader the only one. An earlier one finds itself replaced.
func (sequence *sequence) attach() *reader {
	earlier := sequence.reader
	sequence.reader = &reader{
		sequence: sequence,
		changed:  make(chan struct{}, 1),
		pauses:   sequence.pauses,
		resumes:  sequence.resumes,
	}
	sequence.leftAt = time.Time{}
	if earlier != nil {
		earlier.note()
	}
	return sequence.reader
}

func (reader *reader) note() {
	select {
	case reader.changed <- struct{}{}:
	default:
	}
}

func (sequence *sequence) note() {
	if sequence.reader != nil {
		sequence.reader.note()
	}
}

// unsent returns how many tokens are computed and not sent.
func (sequence *sequence) unsent() int {
	return max(0, sequence.next-sequence.sent)
}

func (sequence *sequence) ended() bool {
	return sequence.state == stateFinished || sequence.state == stateCancelled
}

func (sequence *sequence) finishReason() string {
	if sequence.natural {
		return "stop"
	}
	return "length"
}
