package service

const maxRecords = 100_000

// Run is one run as the service saw it begin.
type Run struct {
	AttemptID string `json:"attemptId"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	AtMs      int64  `json:"atMs"`
}

// Runs is the answer to GET /_standin/runs.
type Runs struct {
	// Runs has the last runs that the query asked for, the oldest first.
	Runs []Run `json:"runs"`
	// Attempts and Keys count all runs for each attempt and for each key.
	Attempts map[string]int `json:"attempts"`
	Keys     map[string]int `json:"keys"`
	Total    int            `json:"total"`
}

// recorder keeps the last runs; its counts of keys and attempts cover just
// these. Its owner has the lock.
type recorder struct {
	bound    int
	runs     []Run
	attempts map[string]int
	keys     map[string]int
	total    int
}

func newRecorder(bound int) *recorder {
	return &recorder{bound: bound, attempts: map[string]int{}, keys: map[string]int{}}
}

// add records the run and returns how often its key has run, or its attempt
// when it has no key.
func (recorder *recorder) add(run Run) int {
	recorder.total++
	recorder.runs = append(recorder.runs, run)
	raise(recorder.attempts, run.AttemptID, 1)
	raise(recorder.keys, run.Key, 1)
	if len(recorder.runs) > recorder.bound {
		raise(recorder.attempts, recorder.runs[0].AttemptID, -1)
		raise(recorder.keys, recorder.runs[0].Key, -1)
		recorder.runs = recorder.runs[1:]
	}
	if run.Key != "" {
		return recorder.keys[run.Key]
	}
	return recorder.attempts[run.AttemptID]
}

func raise(counts map[string]int, id string, by int) {
	if id == "" {
		return
	}
	counts[id] += by
	if counts[id] <= 0 {
		delete(counts, id)
	}
}

// find returns the runs of the attempt and of the key; an empty one stands for
// all.
func (recorder *recorder) find(attemptID, key string) Runs {
	found := Runs{Runs: []Run{}, Attempts: map[string]int{}, Keys: map[string]int{}, Total: recorder.total}
	for _, run := range recorder.runs {
		if attemptID != "" && run.AttemptID != attemptID {
			continue
		}
		if key != "" && run.Key != key {
			continue
		}
		found.Runs = append(found.Runs, run)
		raise(found.Attempts, run.AttemptID, 1)
		raise(found.Keys, run.Key, 1)
	}
	return found
}
