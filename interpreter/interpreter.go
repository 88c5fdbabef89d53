// Package interpreter parses the headers by which upstreams announce a rate limit, a limit of
// rejections, a backoff or that they are leaving. Malformed values are ignored and returned as unreadable.
package interpreter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"limpetcleat/definer"
)

// The headers by which an upstream controls the requests that it is sent.
const (
	limitHeader      = "Server-Limit"   // Requests per second from all nodes together, a decimal number.
	leavingHeader    = "Server-Leaving" // 1 if the upstream is about to leave, else 0.
	retryAfterHeader = "Retry-After"    // Seconds or a date, with a status that refuses the request.
	coldHeader       = "X-Cold-Ms"      // Milliseconds for which the upstream still warms up.
	brittleHeader    = "Server-Brittle" // Rejections per second that an upstream of the service tolerates, a decimal number.
)

// MaxRetryAfter bounds the backoff that an upstream may ask for, so that a wrong value does not
// take it out of use permanently.
const MaxRetryAfter = time.Hour

// MaxCold bounds for how long an upstream may announce that it warms up, so that a wrong value
// does not restrict it permanently.
const MaxCold = time.Minute

// maxUnreadable bounds the length of Announcement.Unreadable in bytes.
const maxUnreadable = 200

// Announcement holds what the headers of one answer announce. The zero value announces nothing.
type Announcement struct {
	// Limit is the rate of requests that the upstream accepts from all nodes together.
	Limit definer.RateLimit
	// Leaving tells that the upstream is about to end and must not be sent further requests.
	Leaving bool
	// RetryAfter is for how long an upstream that refused the request wants no requests from
	// this node; 0 if it does not say.
	RetryAfter time.Duration
	// Cold is for how much longer the upstream warms up, at most MaxCold; 0 if it is warm or
	// does not say.
	Cold time.Duration
	// RejectionLimit is how many rejections for want of capacity each upstream of the service
	// tolerates per second, from all nodes together; above it, the upstream crashes.
	RejectionLimit definer.RateLimit
	// Unreadable lists the headers with malformed values, and these values, which are
	// ignored.
	Unreadable string
}

// ParseAnnouncement parses the headers of an answer with the given status. A backoff counts only
// with the statuses Service Unavailable and Too Many Requests.
func ParseAnnouncement(status int, header http.Header) Announcement {
	var announcement Announcement
	announcement.Limit = decodeLimit(header, limitHeader, &announcement)
	announcement.Leaving = decodeLeaving(header, &announcement)
	announcement.Cold = decodeCold(header, &announcement)
	announcement.RejectionLimit = decodeLimit(header, brittleHeader, &announcement)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		announcement.RetryAfter = decodeRetryAfter(header, &announcement)
	}
	return announcement
}

// addUnreadable adds a header with a malformed value to Unreadable.
func (announcement *Announcement) addUnreadable(name, value string) {
	if announcement.Unreadable != "" {
		announcement.Unreadable += ", "
	}
	announcement.Unreadable += name + ": " + strconv.Quote(value)
	if len(announcement.Unreadable) > maxUnreadable {
		announcement.Unreadable = announcement.Unreadable[:maxUnreadable]
	}
}

// headerItems returns all items of a header whose field lines are comma-separated lists.
func headerItems(header http.Header, name string) []string {
	var items []string
	for _, line := range header.Values(name) {
		for _, item := range strings.Split(line, ",") {
			items = append(items, strings.TrimSpace(item))
		}
	}
	return items
}

// decodeLimit returns the lowest limit among the items of the named header.
func decodeLimit(header http.Header, name string, announcement *Announcement) definer.RateLimit {
	var lowest definer.RateLimit
	for _, item := range headerItems(header, name) {
		perSecond, ok := parseDecimal(item)
		if !ok {
			announcement.addUnreadable(name, item)
			continue
		}
		if limit := definer.LimitTo(perSecond); limit.Below(lowest) {
			lowest = limit
		}
	}
	return lowest
}

// decodeLeaving reports whether the header announces that the upstream leaves.
func decodeLeaving(header http.Header, announcement *Announcement) bool {
	leaving := false
	for _, item := range headerItems(header, leavingHeader) {
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

// decodeCold returns the longest time among the items of the header.
func decodeCold(header http.Header, announcement *Announcement) time.Duration {
	var longest time.Duration
	for _, item := range headerItems(header, coldHeader) {
		millis, ok := parseDecimal(item)
		if !ok {
			announcement.addUnreadable(coldHeader, item)
			continue
		}
		longest = max(longest, time.Duration(min(millis, float64(MaxCold.Milliseconds()))*float64(time.Millisecond)))
	}
	return longest
}

// decodeRetryAfter returns the longest backoff among the field lines of the header. A line is a
// number of seconds or a date, which is relative to the Date of the answer, or to the current
// time if the answer has none.
func decodeRetryAfter(header http.Header, announcement *Announcement) time.Duration {
	var longest time.Duration
	for _, line := range header.Values(retryAfterHeader) {
		backoff, ok := decodeBackoff(strings.TrimSpace(line), header)
		if !ok {
			announcement.addUnreadable(retryAfterHeader, line)
			continue
		}
		longest = max(longest, backoff)
	}
	return longest
}

// decodeBackoff parses one value of Retry-After. The result is at most MaxRetryAfter.
func decodeBackoff(text string, header http.Header) (time.Duration, bool) {
	if seconds, ok := parseDecimal(text); ok {
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

// parseDecimal parses a number that must be finite and not negative.
func parseDecimal(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, false
	}
	return number, true
}
