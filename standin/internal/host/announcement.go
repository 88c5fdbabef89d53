package host

import (
	"net/http"
	"strconv"
	"time"
)

// The headers in which an upstream says how it wants to be asked.
const (
	HeaderLimit      = "Server-Limit"
	HeaderLeaving    = "Server-Leaving"
	HeaderRetryAfter = "Retry-After"
)

// Announcement is what a stand-in says, in all its answers, of how it wants to be asked. It is a
// part of its faults.
type Announcement struct {
	// LimitPerSecond is how many requests a second it takes from all nodes together, as it
	// stands in the header; empty names no limit.
	LimitPerSecond string `json:"limitPerSecond"`
	// SaysLeaving says that it is about to end.
	SaysLeaving bool `json:"saysLeaving"`
	// RetryAfterMs is the backoff that its refusals ask for, in milliseconds; 0 is a second.
	RetryAfterMs int `json:"retryAfterMs"`
}

// Write sets the headers of an answer.
func (announcement Announcement) Write(header http.Header) {
	if announcement.LimitPerSecond != "" {
		header.Set(HeaderLimit, announcement.LimitPerSecond)
	}
	if announcement.SaysLeaving {
		header.Set(HeaderLeaving, "1")
	}
}

// WriteRetryAfter sets the header of a refusal that names the backoff.
func (announcement Announcement) WriteRetryAfter(header http.Header) {
	backoff := time.Second
	if announcement.RetryAfterMs > 0 {
		backoff = time.Duration(announcement.RetryAfterMs) * time.Millisecond
	}
	header.Set(HeaderRetryAfter, strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
}
