package connector

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/timer"
)

const (
	// probeInterval is the least time between two tests of one path, and maxProbes the number of
	// tests that may run at a time.
	probeInterval = 500 * time.Millisecond
	maxProbes     = 8
	// silenceLimit is how long a request may wait while nothing comes from its upstream before
	// the path is tested.
	silenceLimit = 400 * time.Millisecond
	// lostPathLifetime is how long a lost path is remembered and tested without being used.
	lostPathLifetime = 10 * time.Second
	// maxTrials is the number of failed paths for which a relay is tried at a time. Trials that
	// fail, as at an upstream that nobody reaches, are limited for each path, by a pause that
	// doubles from firstTrialPause to longestTrialPause, and for all together: to
	// failedTrialBurst at once and failedTrialRate per second.
	maxTrials         = 4
	firstTrialPause   = 250 * time.Millisecond
	longestTrialPause = 2 * time.Second
	failedTrialBurst  = 8
	failedTrialRate   = 4
)

// path is what is known of the direct network path to an address.
type path struct {
	// lost is set while connections through a relay are used, and lostAt is when that began.
	lost   bool
	lostAt time.Time
	// silent is set if the path was lost without an error from the other end, so that open
	// connections may be lost as well; confirmed once a later test failed too.
	silent    bool
	confirmed bool
	// usedAt is when a connection was last needed while the path was lost.
	usedAt time.Time
	// probedAt is when the path was last tested; probing is set during a test.
	probedAt time.Time
	probing  bool
	// trial is closed when the trial of a relay for the path has ended; nil if there is none.
	trial chan struct{}
	// failedTrials counts the failed trials in a row, and trialAfter is when the next may begin.
	failedTrials int
	trialAfter   time.Time
}

// paths holds what is known of the direct paths to upstreams. It is safe for concurrent use.
type paths struct {
	count func(lost int)
	// slots bounds the trials that run at a time.
	slots chan struct{}
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	known map[string]*path
	// lost is the number of lost paths, probes that of the tests that are running.
	lost   int
	probes int
	// budget is how many trials may fail at present, as of updated; from 0 to failedTrialBurst.
	budget  float64
	updated time.Time
}

func newPaths() *paths {
	return &paths{count: func(int) {}, slots: make(chan struct{}, maxTrials), known: make(map[string]*path), budget: failedTrialBurst}
}

// path returns what is known of the path to an address. The mutex is held.
func (paths *paths) path(address string) *path {
	known, ok := paths.known[address]
	if !ok {
		known = &path{}
		paths.known[address] = known
	}
	return known
}

// useLost reports whether the path is lost, and records that it is needed.
func (paths *paths) useLost(address string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.known[address]
	if !ok || !known.lost {
		return false
	}
	known.usedAt = now
	return true
}

// isLost reports whether the path is lost.
func (paths *paths) isLost(address string) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.known[address]
	return ok && known.lost
}

// beginTrial returns a nil channel if the caller is to try a relay, and must call endTrial; a
// channel that is closed with the end of another trial; or false if no trial may begin.
func (paths *paths) beginTrial(address string, now time.Time) (running chan struct{}, allowed bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.path(address)
	if known.trial != nil {
		return known.trial, true
	}
	paths.budget = min(failedTrialBurst, paths.budget+failedTrialRate*now.Sub(paths.updated).Seconds())
	paths.updated = now
	if now.Before(known.trialAfter) || paths.budget < 1 && paths.lost == 0 {
		return nil, false
	}
	known.trial = make(chan struct{})
	return nil, true
}

// endTrial records whether the trial reached the upstream, which shows that the path is lost if
// the direct attempt failed. It reports whether the path was not known to be lost before.
func (paths *paths) endTrial(address string, now time.Time, reached, silent bool) (begins bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.path(address)
	close(known.trial)
	known.trial = nil
	if !reached {
		known.trialAfter = now.Add(timer.Doubled(firstTrialPause, longestTrialPause, known.failedTrials))
		known.failedTrials++
		paths.budget = max(paths.budget-1, 0)
		return false
	}
	known.failedTrials, known.trialAfter = 0, time.Time{}
	return paths.lose(known, now, silent)
}

// lose records that the path is lost, and reports whether that was not known before. The mutex is
// held.
func (paths *paths) lose(known *path, now time.Time, silent bool) (begins bool) {
	known.usedAt, known.probedAt = now, now
	if known.lost {
		return false
	}
	known.lost, known.lostAt, known.silent, known.confirmed = true, now, silent, false
	paths.lost++
	paths.count(paths.lost)
	return true
}

// loseWithOthers records that a test of the path failed. If other paths are lost, so is this one,
// without a trial of its own. It reports whether that was not known before.
func (paths *paths) loseWithOthers(address string, now time.Time, silent bool) (begins bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.lost > 0 && paths.lose(paths.path(address), now, silent)
}

// lostCount returns the number of lost paths.
func (paths *paths) lostCount() int {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.lost
}

// restore records that a direct connection was established, and reports whether the path was lost
// before, and since when.
func (paths *paths) restore(address string) (lostAt time.Time, ended bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.known[address]
	if !ok || !known.lost {
		return time.Time{}, false
	}
	return known.lostAt, paths.forget(address, known)
}

// forget makes a lost path count as intact. The mutex is held.
func (paths *paths) forget(address string, known *path) bool {
	lost := known.lost
	if known.trial == nil && !known.probing {
		delete(paths.known, address)
	}
	known.lost = false
	if lost {
		paths.lost--
		paths.count(paths.lost)
	}
	return lost
}

// dueProbes returns the lost paths that are to be tested now, the one tested longest ago first, and
// forgets those that nothing uses any more. endProbe must be called for each of them.
func (paths *paths) dueProbes(now time.Time) []string {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	var due []string
	for address, known := range paths.known {
		switch {
		case known.lost && now.Sub(known.usedAt) > lostPathLifetime:
			paths.forget(address, known)
		case known.lost && known.mayProbe(now):
			due = append(due, address)
		case !known.lost && known.trial == nil && !known.probing && now.Sub(known.trialAfter) > lostPathLifetime && now.Sub(known.probedAt) > lostPathLifetime:
			delete(paths.known, address)
		}
	}
	slices.SortFunc(due, func(left, right string) int {
		return paths.known[left].probedAt.Compare(paths.known[right].probedAt)
	})
	due = due[:min(len(due), max(maxProbes-paths.probes, 0))]
	for _, address := range due {
		paths.startProbe(now, paths.known[address])
	}
	return due
}

func (path *path) mayProbe(now time.Time) bool {
	return !path.probing && path.trial == nil && now.Sub(path.probedAt) >= probeInterval
}

// startProbe records that a test of the path began. The mutex is held.
func (paths *paths) startProbe(now time.Time, known *path) {
	known.probing, known.probedAt = true, now
	paths.probes++
}

// probeSilent reports whether the path, on which a request waits in silence, is to be tested now. If
// so, endProbe must be called.
func (paths *paths) probeSilent(address string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.path(address)
	if known.lost || paths.probes >= maxProbes || known.probing || now.Sub(known.probedAt) < 2*probeInterval {
		return false
	}
	paths.startProbe(now, known)
	return true
}

// beginTest reports whether the path is to be tested because another one was lost. If so, endProbe
// must be called.
func (paths *paths) beginTest(address string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.path(address)
	if known.lost || !known.mayProbe(now) {
		return false
	}
	paths.startProbe(now, known)
	return true
}

// endProbe records that a test of a path has ended, and whether the path was found intact.
func (paths *paths) endProbe(address string, intact bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.path(address)
	known.probing = false
	known.confirmed = known.lost && !intact
	paths.probes--
}

// lostSilently reports whether the path is lost, also by a second test, and open connections may be
// lost as well.
func (paths *paths) lostSilently(address string) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.known[address]
	return ok && known.lost && known.silent && known.confirmed
}
