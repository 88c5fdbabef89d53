package engine

const maxRecords = 100_000

// Record holds the counters of one attempt.
type Record struct {
	AttemptID string `json:"attemptId"`
	Priority  int    `json:"priority"`
	Started   bool   `json:"started"`
	// Starts is how often the engine started a sequence for the attempt. Resuming a preserved
	// sequence does not count.
	Starts int `json:"starts"`
	// Tokens is the number of tokens computed for the attempt.
	Tokens int `json:"tokens"`
	// Sent is the number of distinct tokens written to a client.
	Sent      int  `json:"sent"`
	Finished  bool `json:"finished"`
	Cancelled bool `json:"cancelled"`
	// Discarded is the number of tokens that were computed but can no longer be sent.
	Discarded int `json:"discarded"`
	Pauses    int `json:"pauses"`
}

// Totals holds the sums over all attempts since the engine started.
type Totals struct {
	ComputedTokens  int64 `json:"computedTokens"`
	DiscardedTokens int64 `json:"discardedTokens"`
	// CancelledTokens is the number of tokens computed for cancelled attempts, sent or not.
	CancelledTokens int64 `json:"cancelledTokens"`
	Started         int64 `json:"started"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	Pauses          int64 `json:"pauses"`
}

// Runs is the response to GET /runs.
type Runs struct {
	Attempts []Record `json:"attempts"`
	Totals
}

// recorder stores the most recent records, up to its capacity, and the totals. It has no lock;
// Engine.mu guards it.
type recorder struct {
	capacity int
	// order lists the attempt IDs of the records, oldest first.
	order   []string
	records map[string]*Record
	totals  Totals
}

func newRecorder(bound int) *recorder {
	return &recorder{capacity: bound, records: map[string]*Record{}}
}

func (recorder *recorder) find(attemptID string) (*Record, bool) {
	record, found := recorder.records[attemptID]
	return record, found
}

// findOrCreate returns the stored record of the attempt, or a new one that the caller must pass to
// add once the attempt is accepted.
func (recorder *recorder) findOrCreate(attemptID string, priority int) *Record {
	if record, found := recorder.records[attemptID]; found {
		return record
	}
	return &Record{AttemptID: attemptID, Priority: priority}
}

// add stores the record of an accepted attempt, unless it is stored already, and evicts the oldest
// record beyond the capacity.
func (recorder *recorder) add(record *Record) {
	if _, found := recorder.records[record.AttemptID]; found {
		return
	}
	recorder.records[record.AttemptID] = record
	recorder.order = append(recorder.order, record.AttemptID)
	if len(recorder.order) > recorder.capacity {
		delete(recorder.records, recorder.order[0])
		recorder.order = recorder.order[1:]
	}
}

func (recorder *recorder) recordStart(record *Record) {
	record.Started = true
	record.Starts++
	recorder.totals.Started++
}

func (recorder *recorder) recordToken(record *Record) {
	record.Tokens++
	recorder.totals.ComputedTokens++
}

func (recorder *recorder) recordPause(record *Record) {
	record.Pauses++
	recorder.totals.Pauses++
}

func (recorder *recorder) recordFinish(record *Record) {
	record.Finished = true
	recorder.totals.Finished++
}

func (recorder *recorder) recordCancel(record *Record) {
	record.Cancelled = true
	recorder.totals.Cancelled++
	recorder.totals.CancelledTokens += int64(record.Tokens)
}

func (recorder *recorder) recordDiscard(record *Record, tokens int) {
	record.Discarded += tokens
	recorder.totals.DiscardedTokens += int64(tokens)
}

func (recorder *recorder) runs() Runs {
	runs := Runs{Attempts: make([]Record, 0, len(recorder.order)), Totals: recorder.totals}
	for _, id := range recorder.order {
		runs.Attempts = append(runs.Attempts, *recorder.records[id])
	}
	return runs
}
