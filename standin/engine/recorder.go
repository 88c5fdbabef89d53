package engine

const maxRecords = 100_000

// Record is the engine's own account of one attempt.
type Record struct {
	AttemptID string `json:"attemptId"`
	Priority  int    `json:"priority"`
	Started   bool   `json:"started"`
	// Starts counts how often the attempt was begun here; a resumption of kept
	// tokens is no start.
	Starts int `json:"starts"`
	// Tokens counts the tokens computed here.
	Tokens int `json:"tokens"`
	// Sent counts the tokens written towards a client, each once.
	Sent      int  `json:"sent"`
	Finished  bool `json:"finished"`
	Cancelled bool `json:"cancelled"`
	// Discarded counts the tokens that were computed and can no longer be sent.
	Discarded int `json:"discarded"`
	Pauses    int `json:"pauses"`
}

// Totals sums over all attempts since the start.
type Totals struct {
	ComputedTokens  int64 `json:"computedTokens"`
	DiscardedTokens int64 `json:"discardedTokens"`
	// CancelledTokens counts the tokens computed for attempts that were cancelled,
	// sent or not.
	CancelledTokens int64 `json:"cancelledTokens"`
	Started         int64 `json:"started"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	Pauses          int64 `json:"pauses"`
}

// Runs is the answer to GET /runs.
type Runs struct {
	Attempts []Record `json:"attempts"`
	Totals
}

// recorder keeps the last records. Its owner has the lock.
type recorder struct {
	bound int
	// order has the ids of records, the oldest first.
	order   []string
	records map[string]*Record
	totals  Totals
}

func newRecorder(bound int) *recorder {
	return &recorder{bound: bound, records: map[string]*Record{}}
}

func (recorder *recorder) find(attemptID string) (*Record, bool) {
	record, found := recorder.records[attemptID]
	return record, found
}

// draft returns the record of the attempt, or a new one that keep has still to
// take in.
func (recorder *recorder) draft(attemptID string, priority int) *Record {
	if record, found := recorder.records[attemptID]; found {
		return record
	}
	return &Record{AttemptID: attemptID, Priority: priority}
}

// keep takes in the record of an accepted attempt.
func (recorder *recorder) keep(record *Record) {
	if _, found := recorder.records[record.AttemptID]; found {
		return
	}
	recorder.records[record.AttemptID] = record
	recorder.order = append(recorder.order, record.AttemptID)
	if len(recorder.order) > recorder.bound {
		delete(recorder.records, recorder.order[0])
		recorder.order = recorder.order[1:]
	}
}

func (recorder *recorder) started(record *Record) {
	record.Started = true
	record.Starts++
	recorder.totals.Started++
}

func (recorder *recorder) computed(record *Record) {
	record.Tokens++
	recorder.totals.ComputedTokens++
}

func (recorder *recorder) paused(record *Record) {
	record.Pauses++
	recorder.totals.Pauses++
}

func (recorder *recorder) finished(record *Record) {
	record.Finished = true
	recorder.totals.Finished++
}

func (recorder *recorder) cancelled(record *Record) {
	record.Cancelled = true
	recorder.totals.Cancelled++
	recorder.totals.CancelledTokens += int64(record.Tokens)
}

func (recorder *recorder) discarded(record *Record, tokens int) {
	record.Discarded += tokens
	recorder.totals.DiscardedTokens += int64(tokens)
}

func (recorder *recorder) all() Runs {
	runs := Runs{Attempts: make([]Record, 0, len(recorder.order)), Totals: recorder.totals}
	for _, id := range recorder.order {
		runs.Attempts = append(runs.Attempts, *recorder.records[id])
	}
	return runs
}
