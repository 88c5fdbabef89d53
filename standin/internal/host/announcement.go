package host

import (
	"net/http"
	"strconv"
	"time"
)

// The headers in which an upstream says how it wants to be asked.
const (
	HeaderLimit   = "Server-Limit"
	HeaderLeaving = "Server-Leaving"
	HeaderRest    = "Retry-After"
)

// Announcement is what a stand-in says, in all its answers, of how it wants to be asked. It is a
// part of its faults.
type Announcement struct {
	// LimitPerSecond is how many requests a second it takes from all nodes together, as it
	// stands in the header; empty names no limit.
	LimitPerSecond string `json:"limitPerSecond"`
	// SaysLeaving says that it is about to end.
	SaysLeaving bool `json:"saysLeaving"`
	// RestMs is the rest that its refusals ask for, in milliseconds; 0 is a second.
	RestMs int `json:"restMs"`
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

// WriteRest sets the header of a refusal that names the rest.
func (announcement Announcement) WriteRest(header http.Header) {
	rest := time.Second
	if announcement.RestMs > 0 {
		rest = time.Duration(announcement.RestMs) * time.Millisecond
	}
	header.Set(HeaderRest, strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
}
