package forwarder

import (
	"bytes"

	"limpetcleat/rationer"
)

const (
	// maxEventBytes bounds the size of an incomplete event.
	maxEventBytes = 1 << 20
	// eventCost is how many bytes of memory each byte of an incomplete event takes while its buffer grows.
	eventCost = 3
	// longestEventEnd is the length of the longest mark of the end of an event.
	longestEventEnd = len("\r\n\r\n")
)

// eventSplitter splits a stream of server-sent events at the ends of events.
type eventSplitter struct {
	// partial holds the bytes of the incomplete event, meter counts them and those of the events that add
	// returned last.
	partial []byte
	meter   *rationer.Meter
	// lastID is the id of the last complete event that had one.
	lastID string
}

// newEventSplitter returns an eventSplitter whose memory is taken from the rationer. The caller must release it.
func newEventSplitter(memory *rationer.Rationer) *eventSplitter {
	return &eventSplitter{meter: memory.NewMeter(rationer.Allowance{Free: streamBuffer, Limit: maxEventBytes, Cost: eventCost})}
}

// release frees the memory of the eventSplitter, which is not used any more.
func (eventSplitter *eventSplitter) release() { eventSplitter.meter.Reset() }

// add appends bytes of the stream and returns the events that are complete now, which are valid until the next
// call. The error is of type rationer.Error: the incomplete event is too large, or there is no memory for it.
func (eventSplitter *eventSplitter) add(data []byte) ([]byte, error) {
	eventSplitter.meter.Reset()
	if err := eventSplitter.meter.Add(len(eventSplitter.partial) + len(data)); err != nil {
		return nil, err
	}
	known := max(len(eventSplitter.partial)-longestEventEnd+1, 0)
	eventSplitter.partial = append(eventSplitter.partial, data...)
	end := lastEnd(eventSplitter.partial[known:])
	if end == 0 {
		return nil, nil
	}
	end += known
	whole := eventSplitter.partial[:end:end]
	eventSplitter.partial = bytes.Clone(eventSplitter.partial[end:])
	eventSplitter.recordLastID(whole)
	return whole, nil
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
