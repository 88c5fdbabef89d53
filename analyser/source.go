package analyser

import (
	"bufio"
	"bytes"
	"cmp"
	"container/heap"
	"errors"
	"io"
)

// maxLineBytes bounds a line; longer ones are unreadable. The logger truncates values at 2,000
// bytes, so that its lines are far shorter.
const maxLineBytes = 64 << 10

// Source is the log of one node, or lines of several nodes in the order of their times.
type Source struct {
	// Name is used in messages, such as the path of a file.
	Name   string
	Reader io.Reader
}

// input reads the events of one source.
type input struct {
	name   string
	reader *bufio.Reader
	lines  int
	// next is the next event; its number is 0 at the end of the source.
	next event
}

// errTooLong is returned for a line longer than maxLineBytes.
var errTooLong = errors.New("the line is too long")

// advance reads up to the next event that the tables need.
func (analyser *Analyser) advance(input *input) error {
	for {
		line, err := input.readLine()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			input.next = event{}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errTooLong) {
			return fail("read", Unreadable, "%s: %w", input.name, err)
		}
		input.lines++
		analyser.lines++
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 && err == nil {
			continue
		}
		parsed, ok := analyser.setter.parse(line)
		if !ok {
			analyser.countUnreadable(input)
			continue
		}
		if parsed.needed() {
			input.next = parsed
			return nil
		}
	}
}

// readLine returns the next line, which is valid until the next call. A line longer than the
// buffer is skipped with errTooLong.
func (input *input) readLine() ([]byte, error) {
	line, err := input.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = input.reader.ReadSlice('\n')
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return nil, errTooLong
}

// inputs is a heap of inputs; the one whose next event is earliest comes first.
type inputs []*input

func (inputs inputs) Len() int           { return len(inputs) }
func (inputs inputs) Less(i, j int) bool { return inputs[i].next.at < inputs[j].next.at }
func (inputs inputs) Swap(i, j int)      { inputs[i], inputs[j] = inputs[j], inputs[i] }

// Push adds an input, as heap.Interface requires.
func (inputs *inputs) Push(value any) { *inputs = append(*inputs, value.(*input)) }

// Pop removes the last input, as heap.Interface requires.
func (inputs *inputs) Pop() any {
	last := len(*inputs) - 1
	value := (*inputs)[last]
	*inputs = (*inputs)[:last]
	return value
}

// reorderer sorts events by time that come nearly in order. It holds the events of the latest
// slack of time.
type reorderer struct {
	held  events
	slack int64
	// latest is the latest time of any event, released that of the last event passed on.
	latest   int64
	released int64
	count    uint64
}

// heldEvent is an event in a reorderer. Its position keeps events of equal times in order.
type heldEvent struct {
	event
	position uint64
}

// add takes an event and passes those that are due to the function, earliest first.
func (reorderer *reorderer) add(event event, pass func(event)) {
	reorderer.count++
	if event.at < reorderer.released {
		event.outOfOrder = true
		pass(event)
		return
	}
	heap.Push(&reorderer.held, heldEvent{event: event, position: reorderer.count})
	reorderer.latest = max(reorderer.latest, event.at)
	for reorderer.held[0].at < reorderer.latest-reorderer.slack {
		reorderer.release(pass)
	}
}

// flush passes all events to the function that are still held.
func (reorderer *reorderer) flush(pass func(event)) {
	for len(reorderer.held) > 0 {
		reorderer.release(pass)
	}
}

func (reorderer *reorderer) release(pass func(event)) {
	earliest := heap.Pop(&reorderer.held).(heldEvent).event
	reorderer.released = earliest.at
	pass(earliest)
}

// events is a heap of events by time.
type events []heldEvent

func (events events) Len() int { return len(events) }

// Less orders by time, then by position, as heap.Interface requires.
func (events events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(events[i].at, events[j].at), cmp.Compare(events[i].position, events[j].position)) < 0
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push adds an event, as heap.Interface requires.
func (events *events) Push(value any) { *events = append(*events, value.(heldEvent)) }

// Pop removes the last event, as heap.Interface requires.
func (events *events) Pop() any {
	last := len(*events) - 1
	value := (*events)[last]
	*events = (*events)[:last]
	return value
}
