package forwarder

import (
	"bytes"
)

// maxEventBytes bounds the size of an incomplete event.
const maxEventBytes = 1 << 20

// eventSplitter splits a stream of server-sent events at the ends of events.
type eventSplitter struct {
	// partial holds the bytes of the incomplete event.
	partial []byte
	// lastID is the id of the last complete event that had one.
	lastID string
}

// add appends bytes of the stream and returns the events that are complete now.
func (eventSplitter *eventSplitter) add(data []byte) []byte {
	eventSplitter.partial = append(eventSplitter.partial, data...)
	end := lastEnd(eventSplitter.partial)
	if end == 0 {
		return nil
	}
	whole := eventSplitter.partial[:end:end]
	eventSplitter.partial = bytes.Clone(eventSplitter.partial[end:])
	eventSplitter.recordLastID(whole)
	return whole
}

// lastEnd returns the offset behind the last complete event, or 0 if there is none.
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

// recordLastID keeps the last id among complete events.
func (eventSplitter *eventSplitter) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			eventSplitter.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
