// Package examiner finds out whether an upstream has ended when requests to it break off, with
// one probe of its address for all requests that break off at about the same time.
package examiner

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"limpetcleat/definer"
	"limpetcleat/dialer"
)

// findingLifetime is how long the result of a probe is used for further requests to the upstream.
// When an upstream ends, all its connections break within milliseconds, and it takes longer to
// start again.
const findingLifetime = 500 * time.Millisecond

// Ask is a probe: it reports whether a process listens at an address.
type Ask func(ctx context.Context, address string) dialer.Presence

// Examiner probes upstreams at which requests break off, once for all requests that break off at
// about the same time. It is safe for concurrent use.
type Examiner struct {
	ask Ask
	// mutex guards probes. No other lock is taken while it is held.
	mutex  sync.Mutex
	probes map[definer.UpstreamStart]*probe
}

// Finding is the state of an upstream at which a request broke off.
type Finding struct {
	Presence dialer.Presence
	// At is when the first of the requests broke off.
	At time.Time
}

// Ended reports whether the upstream has ended.
func (finding Finding) Ended() bool { return finding.Presence == dialer.Refused }

// probe is a probe of an upstream, under way or done.
type probe struct {
	// done is closed once the finding is complete, by the goroutine that created the probe.
	done    chan struct{}
	finding Finding
}

// New returns an Examiner that probes addresses with the function.
func New(ask Ask) *Examiner {
	return &Examiner{ask: ask, probes: make(map[definer.UpstreamStart]*probe)}
}

// Examine returns the state of an upstream at which a request broke off at the time with the
// cause. After a timeout the upstream is not probed and the finding is dialer.Untold: a VM that
// is off or cut off answers no probe either.
func (examiner *Examiner) Examine(now time.Time, start definer.UpstreamStart, address string, cause error) Finding {
	if errors.Is(cause, syscall.ETIMEDOUT) {
		return Finding{Presence: dialer.Untold, At: now}
	}
	current, first := examiner.findOrAdd(now, start)
	if first {
		// The finding is for all waiting requests, so that the end of the first one must not
		// cancel the probe.
		current.finding.Presence = examiner.ask(context.Background(), address)
		close(current.done)
	}
	<-current.done
	return current.finding
}

// findOrAdd returns the probe to perform or to wait for, and whether the caller is the first and
// has to perform it.
func (examiner *Examiner) findOrAdd(now time.Time, start definer.UpstreamStart) (current *probe, first bool) {
	examiner.mutex.Lock()
	defer examiner.mutex.Unlock()
	if existing, ok := examiner.probes[start]; ok && now.Sub(existing.finding.At) < findingLifetime {
		return existing, false
	}
	for other, existing := range examiner.probes {
		if now.Sub(existing.finding.At) >= findingLifetime {
			delete(examiner.probes, other)
		}
	}
	current = &probe{finding: Finding{At: now}, done: make(chan struct{})}
	examiner.probes[start] = current
	return current, true
}
