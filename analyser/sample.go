package analyser

import (
	"slices"
	"time"
)

// sample is one finished request that was late, refused or failed.
type sample struct {
	event    event
	ending   ending
	upstream string
	expected int
	others   int
	failure  string
	// excess is by how many milliseconds it exceeded the objective it missed by most.
	excess int64
}

// sampleKey is what a sample is an example of.
type sampleKey struct {
	rule   string
	ending ending
	reason string
}

// samples holds the requests with the largest excess of each key; the first ones of equal excess.
type samples map[sampleKey][]sample

func newSample(event *event, sent *request, how ending, objectives Objectives, others int) sample {
	excess := int64(0)
	if how.served() {
		if objectives.First > 0 {
			excess = int64(event.first) - objectives.First.Milliseconds()
		}
		if objectives.Pause > 0 {
			excess = max(excess, int64(event.gap)-objectives.Pause.Milliseconds())
		}
	}
	return sample{
		event: *event, ending: how, upstream: sent.upstream, expected: sent.expected,
		others: others, failure: sent.lastFailure, excess: excess,
	}
}

func (samples samples) add(limit int, added sample) {
	if added.ending == onTime || added.ending == left {
		return
	}
	key := sampleKey{rule: added.event.rule, ending: added.ending, reason: added.event.reason}
	kept := samples[key]
	index, _ := slices.BinarySearchFunc(kept, added, func(one, other sample) int {
		if one.excess >= other.excess {
			return -1
		}
		return 1
	})
	if index >= limit {
		return
	}
	kept = slices.Insert(kept, index, added)
	samples[key] = kept[:min(len(kept), limit)]
}

// row returns the cells of the table of examples.
func (sample *sample) row() []any {
	event := &sample.event
	return []any{
		string(sample.ending), event.rule, event.request, timeText(event.arrival(), time.Millisecond), event.organisation, event.reason, event.status,
		event.sends, sample.upstream, event.first, known(sample.expected), event.gap, event.total, known(sample.others), sample.failure,
	}
}

// known returns a number, or nil if it is absent.
func known(number int) any {
	if number == absent {
		return nil
	}
	return number
}
