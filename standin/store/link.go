package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"limpetcleat/timer"
)

// linkChunk is how many bytes pass a link in one piece.
const linkChunk = 16 << 10

// Link is a node's way to the store, which answers late and passes so many bytes a
// second, over all calls together. It is safe for concurrent use.
type Link struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// rate is in bytes a second, 0 for no bound; delay is that of each answer.
	rate  int64
	delay time.Duration
	// free is when what was sent so far will have passed.
	free time.Time
	// passed counts the bytes of answers.
	passed int64
}

// NewLink returns a link that passes so many bytes a second; 0 is no bound.
func NewLink(rate int64) *Link { return &Link{rate: rate} }

// Delay makes each answer from now on late by so much.
func (link *Link) Delay(delay time.Duration) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.delay = delay
}

// Passed returns how many bytes of answers have passed, also of those given up.
func (link *Link) Passed() int64 {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.passed
}

// Over returns the interface as it is met over the link.
func (link *Link) Over(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&linkWriter{ResponseWriter: writer, ctx: request.Context(), link: link}, request)
	})
}

// send returns once a piece has passed; the error is the context's.
func (link *Link) send(ctx context.Context, bytes int) error {
	return timer.Sleep(ctx, time.Until(link.reserve(bytes)))
}

// reserve returns when a piece will have passed.
func (link *Link) reserve(bytes int) time.Time {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.passed += int64(bytes)
	if now := time.Now(); link.free.Before(now) {
		link.free = now
	}
	if link.rate > 0 {
		link.free = link.free.Add(time.Duration(bytes) * time.Second / time.Duration(link.rate))
	}
	return link.free
}

// late returns once an answer may begin; the error is the context's.
func (link *Link) late(ctx context.Context) error {
	link.mutex.Lock()
	delay := link.delay
	link.mutex.Unlock()
	return timer.Sleep(ctx, delay)
}

// linkWriter writes one answer over a link.
type linkWriter struct {
	http.ResponseWriter
	ctx   context.Context
	link  *Link
	begun bool
}

// WriteHeader begins the answer.
func (writer *linkWriter) WriteHeader(status int) {
	if writer.link.late(writer.ctx) != nil {
		return // The caller has left.
	}
	writer.begun = true
	writer.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body. The error is the context's when the caller has left.
func (writer *linkWriter) Write(data []byte) (int, error) {
	if !writer.begun {
		writer.WriteHeader(http.StatusOK)
	}
	control := http.NewResponseController(writer.ResponseWriter)
	for written := 0; written < len(data); {
		piece := data[written:min(written+linkChunk, len(data))]
		if err := writer.link.send(writer.ctx, len(piece)); err != nil {
			return written, err
		}
		count, err := writer.ResponseWriter.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
		if err := control.Flush(); err != nil {
			return written, err
		}
	}
	return len(data), nil
}
