package orderer

import (
	"time"

	"limpetcleat/definer"
)

const (
	firstPause   = time.Second
	maxDoublings = 3
)

// lease is what one process knows of the lease object, and its own hold on it.
type lease struct {
	self   definer.Member
	name   string
	timing Timing
	shell  Shell

	// read says that the object must not be read before the next write. It is
	// false at first and after a call without an answer.
	read bool
	// version and record are those last seen; a version of 0 is no object.
	version uint64
	record  record
	// seen is when version was first seen, after it was written.
	seen time.Time
	// sent holds when each write was sent that may stand or may yet take
	// effect, by its number.
	sent map[uint64]time.Time
	// writes counts the writes.
	writes uint64
	// from is when the write of the present version was sent. It is set only
	// while the record is this process's own.
	from time.Time
	// barred is the version up to which engines have seen later ones.
	barred uint64
	// working is the call under way: none, Read or a write.
	working Verb
	// next is when the next call is due.
	next     time.Time
	failures int
}

func newLease(self definer.Member, name string, timing Timing, shell Shell) *lease {
	return &lease{self: self, name: name, timing: timing, shell: shell, sent: make(map[uint64]time.Time)}
}

// own tells whether the record, as last seen, names this process.
func (lease *lease) own() bool {
	return lease.version > 0 && lease.record.holder() == lease.self && !lease.from.IsZero()
}

// held tells whether this process believes that it holds the lease.
func (lease *lease) held(now time.Time) bool {
	return lease.own() && now.Before(lease.from.Add(lease.timing.Duration))
}

// sendBy returns the time by which an order must be sent, so that it ends well
// inside the lease; it is zero when none may be.
func (lease *lease) sendBy(now time.Time) time.Time {
	by := lease.from.Add(lease.timing.Duration - lease.timing.Margin - lease.timing.OrderTimeout)
	if !lease.own() || lease.version <= lease.barred || !now.Before(by) {
		return time.Time{}
	}
	return by
}

// bar notes that an engine refused the present fencing number. Nothing is
// ordered before the lease is written again.
func (lease *lease) bar(now time.Time) {
	lease.barred = lease.version
	lease.next = now
}

// advance makes the next call if it is due. A process that neither holds the
// lease nor stands by makes none.
func (lease *lease) advance(now time.Time, configuration uint64, standsBy bool) {
	if lease.working != "" || now.Before(lease.next) || !standsBy && !lease.held(now) {
		return
	}
	switch {
	case !lease.read:
		lease.call(Call{Verb: Read, Name: lease.name})
	case lease.mayTake(now, configuration):
		lease.write(now, record{
			VM:            lease.self.VM,
			Incarnation:   lease.self.Incarnation,
			DurationMs:    lease.timing.Duration.Milliseconds(),
			Configuration: max(configuration, lease.record.Configuration),
		})
	default:
		lease.call(Call{Verb: Read, Name: lease.name})
	}
}

// mayTake tells whether the lease may be written. Nobody takes it who has an
// older configuration than the holder before.
func (lease *lease) mayTake(now time.Time, configuration uint64) bool {
	switch {
	case configuration < lease.record.Configuration:
		return false
	case lease.version == 0, lease.own(), lease.record.VM == "":
		return true
	default:
		return now.Sub(lease.seen) >= lease.takeover()
	}
}

// takeover returns how long the present version must have been seen before the
// lease may be taken over, also from a holder that has another duration set.
func (lease *lease) takeover() time.Duration {
	longer := time.Duration(lease.record.DurationMs)*time.Millisecond - lease.timing.Duration
	return lease.timing.Takeover + max(2*longer, 0)
}

// release gives the lease back, if it is held and its object is known.
func (lease *lease) release(now time.Time) {
	if lease.working == "" && lease.held(now) {
		lease.write(now, record{Configuration: lease.record.Configuration})
		lease.from = time.Time{}
	}
}

func (lease *lease) write(now time.Time, value record) {
	lease.writes++
	value.Write = lease.writes
	lease.sent[lease.writes] = now
	call := Call{Verb: Update, Name: lease.name, Version: lease.version, Value: value.encode()}
	if lease.version == 0 {
		call.Verb = Create
	}
	lease.call(call)
}

func (lease *lease) call(call Call) {
	lease.working = call.Verb
	lease.shell.CallPlatform(call)
}

// answered takes in the answer to the call under way. A lost answer to a write
// is settled by reading the object back; until then the hold lasts as long as
// the last write that is known to have taken effect allows.
func (lease *lease) answered(now time.Time, answer Answer) {
	lease.working = ""
	before := lease.version
	switch answer.Result {
	case Lost, Rejected:
		lease.read = false
		lease.failures++
		lease.next = now
		if answer.Result == Rejected || lease.failures > 1 {
			lease.next = now.Add(lease.pause())
		}
		return
	case Missing:
		lease.see(now, 0, record{})
	case Done, Conflict:
		lease.see(now, answer.Version, stored(answer.Value))
	}
	lease.read = true
	lease.schedule(now)
	if lease.version != before {
		lease.failures = 0
	} else if lease.failures > 0 {
		lease.next = later(lease.next, now.Add(lease.pause()))
	}
}

// stored decodes a record. One that is not of this system counts as a
// stranger's.
func stored(value []byte) record {
	decoded, err := decode(value)
	if err != nil {
		return record{VM: "unknown"}
	}
	return decoded
}

// see takes in the object as it stands.
func (lease *lease) see(now time.Time, version uint64, value record) {
	if version == lease.version && lease.read {
		return
	}
	if version != lease.version {
		lease.seen = now
	}
	lease.version, lease.record = version, value
	if value.holder() != lease.self {
		lease.from = time.Time{}
		return
	}
	// A write that was sent before this one can no longer take effect.
	if from, ok := lease.sent[value.Write]; ok {
		lease.from = from
		for number := range lease.sent {
			if number < value.Write {
				delete(lease.sent, number)
			}
		}
	}
}

// schedule sets when the next call is due.
func (lease *lease) schedule(now time.Time) {
	switch {
	case lease.own():
		lease.next = lease.from.Add(lease.timing.Renewal)
	case lease.version == 0, lease.record.VM == "":
		lease.next = now
	default:
		lease.next = now.Add(lease.timing.Renewal)
		if free := lease.seen.Add(lease.takeover()); now.Before(free) && free.Before(lease.next) {
			lease.next = free
		}
	}
}

// pause returns how long to wait after failures.
func (lease *lease) pause() time.Duration {
	return firstPause << min(max(lease.failures-1, 0), maxDoublings)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
