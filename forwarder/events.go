package forwarder

import (
	"bytes"
)

// maxEventBytes bounds an event of a stream that is not yet whole.
const maxEventBytes = 1 << 20

// splitter cuts a stream of server-sent events where one ends.
type splitter struct {
	// rest holds the bytes of the event that is not yet whole.
	rest []byte
	// lastID is that of the last whole event that had one.
	lastID string
}

// add takes in bytes and returns those of the events that are whole now.
func (splitter *splitter) add(data []byte) []byte {
	splitter.rest = append(splitter.rest, data...)
	end := lastEnd(splitter.rest)
	if end == 0 {
		return nil
	}
	whole := splitter.rest[:end:end]
	splitter.rest = bytes.Clone(splitter.rest[end:])
	splitter.note(whole)
	return whole
}

// lastEnd returns where the last whole event ends, or 0.
func lastEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// note finds the last id among whole events.
func (splitter *splitter) note(events []byte) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			splitter.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
