// Package interpreter reads what upstreams say, in the headers of their answers, of how they
// want to be asked.
package interpreter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"limpetcleat/definer"
)

// The headers in which an upstream says how it wants to be asked.
const (
	limitHeader      = "Server-Limit"   // Requests a second from all nodes, a decimal number.
	leavingHeader    = "Server-Leaving" // 1 once the upstream leaves.
	retryAfterHeader = "Retry-After"    // Seconds, with a status that turns the request away.
)

// MaxRetryAfter bounds how long an upstream may ask not to be sent anything: a wrong number must not
// take it out of use for good.
const MaxRetryAfter = time.Hour

// maxUnreadable bounds what is kept of headers that cannot be read, in bytes.
const maxUnreadable = 200

// Announcement is what the headers of one answer say. The zero value is nothing.
type Announcement struct {
	// Limit is what the upstream takes from all nodes together.
	Limit definer.RateLimit
	// Leaving is set by an upstream that is about to end and is to be sent nothing more.
	Leaving bool
	// RetryAfter is how long an upstream that turned the request away wants nothing from this
	// node; 0 is not said.
	RetryAfter time.Duration
	// Unreadable names the headers whose values cannot be read, with what stands there; such
	// a value is passed over.
	Unreadable string
}

// Interpret reads the headers of an answer with the status.
func Interpret(status int, header http.Header) Announcement {
	var announcement Announcement
	announcement.Limit = decodeLimit(header, &announcement)
	announcement.Leaving = decodeLeaving(header, &announcement)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		announcement.RetryAfter = decodeRetryAfter(header, &announcement)
	}
	return announcement
}

// addUnreadable notes a header that cannot be read.
func (announcement *Announcement) addUnreadable(name, value string) {
	if announcement.Unreadable != "" {
		announcement.Unreadable += ", "
	}
	announcement.Unreadable += name + ": " + strconv.Quote(value)
	if len(announcement.Unreadable) > maxUnreadable {
		announcement.Unreadable = announcement.Unreadable[:maxUnreadable]
	}
}

// items returns the values of a header, those of one field line apart.
func items(header http.Header, name string) []string {
	var items []string
	for _, line := range header.Values(name) {
		for _, item := range strings.Split(line, ",") {
			items = append(items, strings.TrimSpace(item))
		}
	}
	return items
}

// decodeLimit returns the lowest limit that is named.
func decodeLimit(header http.Header, announcement *Announcement) definer.RateLimit {
	var lowest definer.RateLimit
	for _, item := range items(header, limitHeader) {
		perSecond, ok := decimal(item)
		if !ok {
			announcement.addUnreadable(limitHeader, item)
			continue
		}
		if limit := definer.LimitTo(perSecond); limit.Below(lowest) {
			lowest = limit
		}
	}
	return lowest
}

// decodeLeaving tells whether the runner says that it leaves.
func decodeLeaving(header http.Header, announcement *Announcement) bool {
	leaving := false
	for _, item := range items(header, leavingHeader) {
		switch item {
		case "1":
			leaving = true
		case "0":
		default:
			announcement.addUnreadable(leavingHeader, item)
		}
	}
	return leaving
}

// decodeRetryAfter returns the longest backoff that is asked for: seconds, or a date, which counts
// from that of the answer where it has one.
func decodeRetryAfter(header http.Header, announcement *Announcement) time.Duration {
	var longest time.Duration
	for _, line := range header.Values(retryAfterHeader) {
		backoff, ok := decodePause(strings.TrimSpace(line), header)
		if !ok {
			announcement.addUnreadable(retryAfterHeader, line)
			continue
		}
		longest = max(longest, backoff)
	}
	return longest
}

func decodePause(text string, header http.Header) (time.Duration, bool) {
	if seconds, ok := decimal(text); ok {
		return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	answered, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		answered = time.Now()
	}
	return min(max(until.Sub(answered), 0), MaxRetryAfter), true
}

// decimal returns a number that is finite and not negative.
func decimal(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, false
	}
	return number, true
}
