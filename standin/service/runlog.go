package service

const maxRecordedRuns = 100_000

// Run is the record of one run, made when the run starts.
type Run struct {
	AttemptID string `json:"attemptId"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	AtMs      int64  `json:"atMs"`
}

// Runs is the response to GET /_standin/runs.
type Runs struct {
	// Runs lists the recorded runs that match the query, the oldest first.
	Runs []Run `json:"runs"`
	// Attempts and Keys are the numbers of matching runs by attempt and by key.
	Attempts map[string]int `json:"attempts"`
	Keys     map[string]int `json:"keys"`
	// Total is the number of all runs, including those no longer recorded.
	Total int `json:"total"`
}

// runLog keeps the last maxRuns runs and counts them by key and by attempt; total
// counts all runs. Its owner does the locking.
type runLog struct {
	maxRuns  int
	runs     []Run
	attempts map[string]int
	keys     map[string]int
	total    int
}

func newRunLog(maxRuns int) *runLog {
	return &runLog{maxRuns: maxRuns, attempts: map[string]int{}, keys: map[string]int{}}
}

// add records the run and returns the number of recorded runs of its key, or of
// its attempt if it has no key.
func (runLog *runLog) add(run Run) int {
	runLog.total++
	runLog.runs = append(runLog.runs, run)
	addCount(runLog.attempts, run.AttemptID, 1)
	addCount(runLog.keys, run.Key, 1)
	if len(runLog.runs) > runLog.maxRuns {
		addCount(runLog.attempts, runLog.runs[0].AttemptID, -1)
		addCount(runLog.keys, runLog.runs[0].Key, -1)
		runLog.runs = runLog.runs[1:]
	}
	if run.Key != "" {
		return runLog.keys[run.Key]
	}
	return runLog.attempts[run.AttemptID]
}

func addCount(counts map[string]int, id string, by int) {
	if id == "" {
		return
	}
	counts[id] += by
	if counts[id] <= 0 {
		delete(counts, id)
	}
}

// find returns the runs that match both the attempt and the key; an empty string
// matches all.
func (runLog *runLog) find(attemptID, key string) Runs {
	matching := Runs{Runs: []Run{}, Attempts: map[string]int{}, Keys: map[string]int{}, Total: runLog.total}
	for _, run := range runLog.runs {
		if attemptID != "" && run.AttemptID != attemptID {
			continue
		}
		if key != "" && run.Key != key {
			continue
		}
		matching.Runs = append(matching.Runs, run)
		addCount(matching.Attempts, run.AttemptID, 1)
		addCount(matching.Keys, run.Key, 1)
	}
	return matching
}
