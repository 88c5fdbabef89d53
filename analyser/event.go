package analyser

import (
	"strconv"
	"time"

	"limpetcleat/logger"
)

const (
	// maxNumber bounds the numbers in a line, so that sums and times cannot overflow. In
	// milliseconds it is over eleven days.
	maxNumber = 1_000_000_000
	// maxNameBytes bounds the names in a line.
	maxNameBytes = 256
	// absent is the value of a number that the line does not have.
	absent = -1
)

// event holds the pairs of one log line that the tables need. Durations are in milliseconds.
type event struct {
	// number is the event's number in the catalogue; 0 if there is none.
	number int
	// at is the time of the line in nanoseconds since 1970.
	at           int64
	request      string
	rule         string
	organisation string
	upstream     string
	reason       string
	presence     string
	status       int
	sends        int
	mayHaveRun   bool
	first        int
	total        int
	gap          int
	// objective and gapObjective are absent in logs of versions that did not log them.
	objective    int
	gapObjective int
	// expected is the predicted time from the send to the first event.
	expected int
	// outOfOrder marks an event that is older than the reorder buffer allows for.
	outOfOrder bool
}

func newEvent() event {
	return event{total: absent, objective: absent, gapObjective: absent, expected: absent}
}

// needed reports whether the tables need events of this number.
func (event *event) needed() bool {
	switch event.number {
	case logger.EventRequestSent, logger.EventSendFailed, logger.EventRequestFinished:
		return true
	default:
		return false
	}
}

// complete reports whether the event has a number, and the pairs without which it cannot be
// counted.
func (event *event) complete() bool {
	switch event.number {
	case logger.EventRequestSent, logger.EventSendFailed:
		return event.at > 0 && event.upstream != ""
	case logger.EventRequestFinished:
		return event.at > 0 && event.reason != "" && event.total != absent
	default:
		return event.number != 0
	}
}

// arrival returns when a finished request arrived, in nanoseconds since 1970.
func (event *event) arrival() int64 { return event.at - int64(event.total)*int64(time.Millisecond) }

// setter sets the fields of events. It keeps one copy of each name, since a log repeats few names
// in many lines.
type setter struct {
	names map[string]string
}

// set sets the field of the pair with the key, if there is one. It reports whether the value is
// valid.
func (setter *setter) set(event *event, key, value []byte) bool {
	switch string(key) {
	case "time":
		return setTime(&event.at, value)
	case "event":
		return setNumber(&event.number, value)
	case "request":
		event.request = string(value)
		return len(value) <= maxNameBytes
	case "rule":
		return setter.setName(&event.rule, value)
	case "organisation":
		return setter.setName(&event.organisation, value)
	case "upstream":
		return setter.setName(&event.upstream, value)
	case "reason":
		return setter.setName(&event.reason, value)
	case "presence":
		return setter.setName(&event.presence, value)
	case "mayHaveRun":
		event.mayHaveRun = string(value) == "true"
		return event.mayHaveRun || string(value) == "false"
	case "basis":
		setBasis(event, value)
		return true
	default:
		return setCount(event, key, value)
	}
}

// setCount sets the field of a pair that is a count or a duration, if there is one.
func setCount(event *event, key, value []byte) bool {
	switch string(key) {
	case "status":
		return setNumber(&event.status, value)
	case "sends":
		return setNumber(&event.sends, value)
	case "firstMs":
		return setNumber(&event.first, value)
	case "totalMs":
		return setNumber(&event.total, value)
	case "gapMs":
		return setNumber(&event.gap, value)
	case "objectiveMs":
		return setNumber(&event.objective, value)
	case "gapObjectiveMs":
		return setNumber(&event.gapObjective, value)
	default:
		return true
	}
}

// setBasis reads the prediction from the basis of a choice, which holds pairs in logfmt itself. A
// send counts even if its prediction cannot be used.
func setBasis(event *event, basis []byte) {
	scanPairs(basis, func(key, value []byte) bool {
		if string(key) != "expectedMs" {
			return true
		}
		if !setNumber(&event.expected, value) {
			event.expected = absent
		}
		return false
	})
}

func (setter *setter) setName(field *string, value []byte) bool {
	if len(value) > maxNameBytes {
		return false
	}
	name, known := setter.names[string(value)]
	if !known {
		name = string(value)
		setter.names[name] = name
	}
	*field = name
	return true
}

func setNumber(field *int, value []byte) bool {
	number, err := strconv.Atoi(string(value))
	*field = number
	return err == nil && number >= 0 && number <= maxNumber
}

// setTime sets a time between 1970 and 2200, for which nanoseconds do not overflow.
func setTime(field *int64, value []byte) bool {
	at, err := time.Parse(time.RFC3339Nano, string(value))
	if err != nil || at.Year() < 1970 || at.Year() > 2200 {
		return false
	}
	*field = at.UnixNano()
	return true
}
