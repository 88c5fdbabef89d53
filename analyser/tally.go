package analyser

import "time"

// ending is how a request ended.
type ending string

const (
	onTime    ending = "onTime"
	lateFirst ending = "lateFirst"
	latePause ending = "latePause"
	lateBoth  ending = "lateBoth"
	// refused is a request that has not run and will not.
	refused ending = "refused"
	// failed is a request that may have run and was not answered whole.
	failed ending = "failed"
	// left is a request whose caller disconnected first.
	left ending = "left"
)

const (
	reasonServed = "served"
	reasonLeft   = "left"
)

// served reports whether the answer was delivered whole.
func (ending ending) served() bool {
	switch ending {
	case onTime, lateFirst, latePause, lateBoth:
		return true
	default:
		return false
	}
}

// judge returns how a request ended.
func judge(event *event, objectives Objectives) ending {
	switch {
	case event.reason == reasonLeft:
		return left
	case event.reason != reasonServed && event.mayHaveRun:
		return failed
	case event.reason != reasonServed:
		return refused
	}
	first := exceeds(event.first, objectives.First)
	pause := exceeds(event.gap, objectives.Pause)
	switch {
	case first && pause:
		return lateBoth
	case first:
		return lateFirst
	case pause:
		return latePause
	default:
		return onTime
	}
}

// exceeds reports whether a logged time exceeds an objective. Logged times are rounded down to
// milliseconds, so a request that is late by less than that counts as on time.
func exceeds(milliseconds int, objective time.Duration) bool {
	return objective > 0 && time.Duration(milliseconds)*time.Millisecond > objective
}

// tally counts requests by how they ended.
type tally struct {
	requests   int
	endings    map[ending]int
	objectives Objectives
}

func (tally *tally) served() int {
	return tally.endings[onTime] + tally.late()
}

func (tally *tally) late() int {
	return tally.endings[lateFirst] + tally.endings[latePause] + tally.endings[lateBoth]
}

// outcome is a reason with what else distinguishes requests that were not served.
type outcome struct {
	reason     string
	status     int
	mayHaveRun bool
	// reached is set if the request was sent to an upstream that could be connected to.
	reached bool
}

// refusal is what the table of requests that were not served by second counts.
type refusal struct {
	second       int64
	reason       string
	organisation string
	ending       ending
}

// tallies holds the counts of finished requests.
type tallies struct {
	rules         map[string]*tally
	organisations map[string]*tally
	// seconds counts by the second of the arrival, since 1970.
	seconds  map[int64]*tally
	outcomes map[outcome]int
	refusals map[refusal]int
}

func newTallies() tallies {
	return tallies{
		rules: make(map[string]*tally), organisations: make(map[string]*tally), seconds: make(map[int64]*tally),
		outcomes: make(map[outcome]int), refusals: make(map[refusal]int),
	}
}

func (tallies *tallies) add(event *event, how ending, objectives Objectives) {
	second := event.arrival() / int64(time.Second)
	count(tallies.rules, event.rule, how).objectives = objectives
	count(tallies.organisations, event.organisation, how)
	count(tallies.seconds, second, how)
	if !how.served() {
		tallies.outcomes[outcome{reason: event.reason, status: event.status, mayHaveRun: event.mayHaveRun, reached: event.sends > 0}]++
		tallies.refusals[refusal{second: second, reason: event.reason, organisation: event.organisation, ending: how}]++
	}
}

// count adds a request to the tally of the key.
func count[Key comparable](tallies map[Key]*tally, key Key, how ending) *tally {
	counted := tallies[key]
	if counted == nil {
		counted = &tally{endings: make(map[ending]int)}
		tallies[key] = counted
	}
	counted.requests++
	counted.endings[how]++
	return counted
}
