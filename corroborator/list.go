package corroborator

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Witness is a node's observation that an incarnation is lost.
type Witness struct {
	VM   definer.VM
	Kind messenger.EvidenceKind
	At   time.Time
}

// Presumption is the presumption that an incarnation of an upstream is lost.
type Presumption struct {
	Start definer.UpstreamStart
	// Since is when it began, and Until when it ends unless evidence extends it.
	Since time.Time
	Until time.Time
	// Witnesses are the latest observations of different nodes, the latest first.
	Witnesses []Witness
}

// Entry describes the evidence about one incarnation to operators.
type Entry struct {
	Presumption
	// Presumed is set if the incarnation is presumed lost; Since and Until are zero otherwise.
	Presumed bool
	// ProbeAt is when the next probe is due, Prober the node whose turn is the first; empty if that
	// is not determined yet.
	ProbeAt time.Time
	Prober  definer.VM
}

func (loss *loss) presumption() Presumption {
	presumption := Presumption{Start: loss.start, Since: loss.since, Until: loss.until}
	for _, failure := range loss.failures {
		presumption.Witnesses = append(presumption.Witnesses, Witness{failure.witness, failure.kind, failure.at})
	}
	return presumption
}

// Presumed returns the presumption that an incarnation is lost, and whether there is one.
func (corroborator *Corroborator) Presumed(now time.Time, start definer.UpstreamStart) (Presumption, bool) {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	known, ok := corroborator.losses[start]
	if !ok || !known.presumed() || !now.Before(known.until) {
		return Presumption{}, false
	}
	return known.presumption(), true
}

// List returns the evidence that counts, sorted by upstream.
func (corroborator *Corroborator) List(now time.Time) []Entry {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	var list []Entry
	for _, known := range corroborator.order {
		corroborator.expire(now, known)
		if len(known.failures) == 0 {
			continue
		}
		entry := Entry{Presumption: known.presumption(), Presumed: known.presumed()}
		if entry.Presumed {
			entry.ProbeAt = known.probeDue()
			if len(known.probers) > 0 {
				entry.Prober = known.probers[known.turn%len(known.probers)]
			}
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(left, right Entry) int { return strings.Compare(left.Start.String(), right.Start.String()) })
	return list
}
