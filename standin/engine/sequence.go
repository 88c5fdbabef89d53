package engine

import "time"

// state is the scheduling state of a sequence.
type state int

const (
	// stateWaiting means queued: not started, preempted or resumed after a suspension.
	stateWaiting state = iota
	stateRunning
	// stateSuspended means that the sequence has no client and its read-ahead is full.
	stateSuspended
	stateFinished
	stateCancelled
)

// sequence is the computation of one response.
type sequence struct {
	attemptID    string
	model        string
	prompt       string
	text         responseText
	promptTokens int
	cachedTokens int
	priority     int
	preemptible  bool
	arrival      uint64
	// first is the index of the first token that this engine computes and next the index of the
	// next one; first <= next <= length.
	first  int
	next   int
	length int
	// endsNaturally reports whether length is the natural length, within the token limit of the
	// request.
	endsNaturally bool
	// sent is the index of the first token that has not been written to a client.
	sent    int
	state   state
	started bool
	// prefill is the remaining prefill time while the sequence is not running; prefillEndsAt is the
	// end of the prefill while it is.
	prefill       time.Duration
	prefillEndsAt time.Time
	pauses        int
	resumes       int
	// reader is the attached reader. It is nil after the client disconnected at detachedAt.
	reader     *reader
	detachedAt time.Time
	record     *Record
}

// reader reads a sequence for one client request.
type reader struct {
	sequence *sequence
	// changed signals a new state of the sequence; it buffers one signal.
	changed chan struct{}
	// pauses and resumes are the counts of the sequence when the reader was attached.
	pauses  int
	resumes int
}

// attach returns a new reader, which replaces the current one and wakes it.
func (sequence *sequence) attach() *reader {
	earlier := sequence.reader
	sequence.reader = &reader{
		sequence: sequence,
		changed:  make(chan struct{}, 1),
		pauses:   sequence.pauses,
		resumes:  sequence.resumes,
	}
	sequence.detachedAt = time.Time{}
	if earlier != nil {
		earlier.notify()
	}
	return sequence.reader
}

func (reader *reader) notify() {
	select {
	case reader.changed <- struct{}{}:
	default:
	}
}

func (sequence *sequence) notify() {
	if sequence.reader != nil {
		sequence.reader.notify()
	}
}

// unsent returns the number of computed tokens that have not been written to a client.
func (sequence *sequence) unsent() int {
	return max(0, sequence.next-sequence.sent)
}

func (sequence *sequence) ended() bool {
	return sequence.state == stateFinished || sequence.state == stateCancelled
}

func (sequence *sequence) finishReason() string {
	if sequence.endsNaturally {
		return "stop"
	}
	return "length"
}
