package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"limpetcleat/timer"
)

// linkChunkBytes is the largest number of bytes that is transmitted and flushed at once.
const linkChunkBytes = 16 << 10

// Link simulates the network link between a node and the store: it delays responses and limits the
// throughput of all responses together. It is safe for concurrent use.
type Link struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// bytesPerSecond is the throughput limit, 0 for none; delay precedes each response.
	bytesPerSecond int64
	delay          time.Duration
	// lost counts the calls of LoseAnswers.
	lost int
	// silent is set while no request is executed or answered.
	silent bool
	// idleAt is the time at which the bytes queued so far have been transmitted.
	idleAt time.Time
	// sentBytes counts the bytes of response bodies, including those of aborted responses.
	sentBytes int64
}

// NewLink returns a Link with a throughput limit in bytes per second; 0 means no limit.
func NewLink(bytesPerSecond int64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// SetDelay sets the delay before the status line of each subsequent response.
func (link *Link) SetDelay(delay time.Duration) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.delay = delay
}

// LoseAnswers loses the responses to all requests that have none yet: nothing is received on their
// connections any more.
func (link *Link) LoseAnswers() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.lost++
}

// BeSilent makes the link silent for a time: requests that are open get no response, and those that come meanwhile are
// not executed.
func (link *Link) BeSilent(lasts time.Duration) {
	link.setSilent(true)
	time.AfterFunc(lasts, func() { link.setSilent(false) })
}

func (link *Link) setSilent(silent bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.silent = silent
	if silent {
		link.lost++
	}
}

// state returns how often responses were lost, and whether the link is silent.
func (link *Link) state() (lost int, silent bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.lost, link.silent
}

// SentBytes returns the number of bytes of response bodies, including those of aborted responses.
func (link *Link) SentBytes() int64 {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.sentBytes
}

// Wrap returns the handler with its responses sent over the link.
func (link *Link) Wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		lost, silent := link.state()
		if silent {
			<-request.Context().Done()
			return
		}
		handler.ServeHTTP(&linkWriter{ResponseWriter: writer, ctx: request.Context(), link: link, lost: lost}, request)
	})
}

// transmit blocks until the given number of bytes has been transmitted. It returns the context's
// error if the context ends first.
func (link *Link) transmit(ctx context.Context, bytes int) error {
	return timer.Sleep(ctx, time.Until(link.reserve(bytes)))
}

// reserve queues the given number of bytes and returns the time at which they have been
// transmitted.
func (link *Link) reserve(bytes int) time.Time {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.sentBytes += int64(bytes)
	if now := time.Now(); link.idleAt.Before(now) {
		link.idleAt = now
	}
	if link.bytesPerSecond > 0 {
		link.idleAt = link.idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(link.bytesPerSecond))
	}
	return link.idleAt
}

// awaitDelay blocks for the delay that precedes a response. It returns the context's error if the
// context ends first.
func (link *Link) awaitDelay(ctx context.Context) error {
	link.mutex.Lock()
	delay := link.delay
	link.mutex.Unlock()
	return timer.Sleep(ctx, delay)
}

// linkWriter writes one response over a link.
type linkWriter struct {
	http.ResponseWriter
	ctx         context.Context
	link        *Link
	wroteHeader bool
	// lost is how often the link had lost responses when the request arrived.
	lost int
}

// Unwrap returns the writer of the connection.
func (writer *linkWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// WriteHeader writes the status line and the headers after the link's delay.
func (writer *linkWriter) WriteHeader(status int) {
	if writer.link.awaitDelay(writer.ctx) != nil {
		return // The client has disconnected.
	}
	if lost, _ := writer.link.state(); lost != writer.lost {
		<-writer.ctx.Done()
		return
	}
	writer.wroteHeader = true
	writer.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body at the link's throughput. It returns the context's error if the
// client disconnects.
func (writer *linkWriter) Write(data []byte) (int, error) {
	if !writer.wroteHeader {
		writer.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(writer.ResponseWriter)
	for written := 0; written < len(data); {
		chunk := data[written:min(written+linkChunkBytes, len(data))]
		if err := writer.link.transmit(writer.ctx, len(chunk)); err != nil {
			return written, err
		}
		count, err := writer.ResponseWriter.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
		if err := controller.Flush(); err != nil {
			return written, err
		}
	}
	return len(data), nil
}
