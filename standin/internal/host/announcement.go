package host

import (
	"net/http"
	"strconv"
	"time"
)

// Response headers in which an upstream announces its rate limit, its shutdown and its retry delay.
const (
	HeaderLimit      = "Server-Limit"
	HeaderLeaving    = "Server-Leaving"
	HeaderRetryAfter = "Retry-After"
)

// Announcement is what a stand-in announces to its callers in response headers. It is part of the
// faults that a test sets.
type Announcement struct {
	// LimitPerSecond is the HeaderLimit value: the number of requests per second that the upstream
	// accepts from all nodes together. An empty value omits the header.
	LimitPerSecond string `json:"limitPerSecond"`
	// Leaving announces that the upstream is about to shut down.
	Leaving bool `json:"saysLeaving"`
	// RetryAfterMs is the retry delay in refusals, in milliseconds; 0 or less means 1 second.
	RetryAfterMs int `json:"retryAfterMs"`
}

// SetHeaders sets HeaderLimit and HeaderLeaving in a response header.
func (announcement Announcement) SetHeaders(header http.Header) {
	if announcement.LimitPerSecond != "" {
		header.Set(HeaderLimit, announcement.LimitPerSecond)
	}
	if announcement.Leaving {
		header.Set(HeaderLeaving, "1")
	}
}

// SetRetryAfter sets HeaderRetryAfter in the response header of a refusal, in decimal seconds.
func (announcement Announcement) SetRetryAfter(header http.Header) {
	backoff := time.Second
	if announcement.RetryAfterMs > 0 {
		backoff = time.Duration(announcement.RetryAfterMs) * time.Millisecond
	}
	header.Set(HeaderRetryAfter, strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
}
