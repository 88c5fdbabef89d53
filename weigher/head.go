package weigher

import (
	"bytes"
	"sync"

	"limpetcleat/rationer"
)

const (
	// lengthUnknown is the length of a body in chunks, as http.Request has it.
	lengthUnknown = -1
	// lastChunk ends a body in chunks that has no trailer.
	lastChunk = "0\r\n\r\n"
)

// Head counts what the head of the current request on a connection takes, from its first byte until the request has been
// served. Bytes that follow the request belong to the head of the next one. It is safe for concurrent use.
type Head struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	meter *rationer.Meter
	// serving is set while a request is served, whose body is not counted here.
	serving bool
	closed  bool
	// shortage is why there is no memory for what came ahead of the current head; nil if there is.
	shortage error
	// received is the number of bytes since the end of the last request, and end that up to the end of the head; 0
	// before it has been received.
	received int64
	end      int64
	// blank is set while the line that is being received follows another one and has no character.
	blank bool
	// followed counts the lines behind the head. ahead is set while bytes of the head came with the request before,
	// so that its end is not known.
	followed int
	ahead    bool
	// length is that of the body of the request that is served, unread the part of it that comes after that: a server reads
	// on to discard it.
	length int64
	unread int64
	// tail holds the last bytes received.
	tail []byte
}

// Received counts bytes that were read. The error is of type rationer.Error if there is no memory for them.
func (head *Head) Received(data []byte) error {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	if !head.serving {
		body := min(head.unread, int64(len(data)))
		head.unread, data = head.unread-body, data[body:]
	}
	if head.closed || len(data) == 0 {
		return nil
	}
	head.keepTail(data)
	head.findEnd(data)
	head.received += int64(len(data))
	lines := bytes.Count(data, []byte{'\n'})
	if head.serving {
		head.followed += lines
		return nil
	}
	if head.shortage != nil {
		return head.shortage
	}
	// What exceeds the limit of a head is skipped by the server.
	if err := head.meter.Add(int(min(int64(len(data)), head.meter.Left()))); err != nil {
		return err
	}
	return head.meter.AddLines(lines)
}

// keepTail keeps the last bytes of what was received; the mutex is held.
func (head *Head) keepTail(data []byte) {
	if len(data) > len(lastChunk) {
		data = data[len(data)-len(lastChunk):]
	}
	head.tail = append(head.tail, data...)
	head.tail = append(head.tail[:0], head.tail[max(0, len(head.tail)-len(lastChunk)):]...)
}

// findEnd looks for the empty line that ends the head, and counts the lines behind it; the mutex is held.
func (head *Head) findEnd(data []byte) {
	if head.serving || head.ahead || head.end > 0 {
		return
	}
	for index, char := range data {
		switch {
		case char == '\n' && head.blank:
			head.end = head.received + int64(index) + 1
			head.followed = bytes.Count(data[index+1:], []byte{'\n'})
			return
		case char == '\n':
			head.blank = true
		case char != '\r':
			head.blank = false
		}
	}
}

// BeginServing records that the head has been received and its request, with a body of the given length, is being served.
// It reports whether there is memory for the head; otherwise the request must not be served.
func (head *Head) BeginServing(length int64) bool {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	head.serving, head.length = true, length
	return head.shortage == nil
}

// EndServing records that the request has been served, whose head is not used any more.
func (head *Head) EndServing() {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	left := head.leftOver()
	lines := min(int64(head.followed), left)
	if !head.ahead && head.end > 0 {
		head.unread = max(head.end+head.length-head.received, 0)
	}
	head.serving, head.received, head.end, head.blank = false, left, 0, false
	head.ahead, head.followed = left > 0, int(lines)
	head.meter.Reset()
	if !head.closed {
		head.shortage = head.meter.AddLines(int(lines))
	}
}

// leftOver returns how many bytes at most may follow the request that was served, no more than a server buffers; the mutex is
// held.
func (head *Head) leftOver() int64 {
	switch {
	case head.ahead || head.end == 0:
		return freeBytes
	case head.length != lengthUnknown:
		return min(max(head.received-head.end-head.length, 0), freeBytes)
	case string(head.tail) == lastChunk:
		return 0
	}
	return freeBytes
}

// Close frees the memory.
func (head *Head) Close() {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	head.closed = true
	head.meter.Reset()
}
