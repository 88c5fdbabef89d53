package interpreter_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/interpreter"
)

// TestWordsOfUpstreams parses headers of upstreams with valid and with malformed values.
func TestWordsOfUpstreams(t *testing.T) {
	const asked = "Thu, 01 Jan 2026 00:00:00 GMT"
	cases := []struct {
		name       string
		status     int
		header     http.Header
		limit      string
		leaving    bool
		backoff    time.Duration
		unreadable string
	}{
		{"nothing", 200, http.Header{}, "none", false, 0, ""},
		{"a fraction", 200, http.Header{"Server-Limit": {"2.2"}}, "2.2", false, 0, ""},
		{"nothing a second", 200, http.Header{"Server-Limit": {"0"}}, "0", false, 0, ""},
		{"a huge limit", 200, http.Header{"Server-Limit": {"1e300"}}, "1e+300", false, 0, ""},
		{"one beyond all numbers", 200, http.Header{"Server-Limit": {"1e999"}}, "none", false, 0, `Server-Limit: "1e999"`},
		{"a negative limit", 200, http.Header{"Server-Limit": {"-1"}}, "none", false, 0, `Server-Limit: "-1"`},
		{"no number", 200, http.Header{"Server-Limit": {"NaN"}}, "none", false, 0, `Server-Limit: "NaN"`},
		{"no text", 200, http.Header{"Server-Limit": {""}}, "none", false, 0, `Server-Limit: ""`},
		{"two limits", 200, http.Header{"Server-Limit": {"3", "2"}}, "2", false, 0, ""},
		{"two in one line, one unreadable", 200, http.Header{"Server-Limit": {"few, 3"}}, "3", false, 0, `Server-Limit: "few"`},
		{"two rejection limits", 200, http.Header{"Server-Brittle": {"6", "3"}}, "none", false, 0, ""},
		{"a negative rejection limit", 200, http.Header{"Server-Brittle": {"-6"}}, "none", false, 0, `Server-Brittle: "-6"`},
		{"leaving", 200, http.Header{"Server-Leaving": {"1"}}, "none", true, 0, ""},
		{"not leaving", 200, http.Header{"Server-Leaving": {"0"}}, "none", false, 0, ""},
		{"leaving in other words", 200, http.Header{"Server-Leaving": {"yes"}}, "none", false, 0, `Server-Leaving: "yes"`},
		{"backoff", 503, http.Header{"Retry-After": {"2.5"}}, "none", false, 2500 * time.Millisecond, ""},
		{"backoff with an answer", 200, http.Header{"Retry-After": {"2.5"}}, "none", false, 0, ""},
		{"two backoffs", 503, http.Header{"Retry-After": {"1", "3"}}, "none", false, 3 * time.Second, ""},
		{"backoff until a date", 503, http.Header{"Retry-After": {"Thu, 01 Jan 2026 00:00:07 GMT"}, "Date": {asked}}, "none", false, 7 * time.Second, ""},
		{"backoff until a date gone by", 503, http.Header{"Retry-After": {"Wed, 31 Dec 2025 23:00:00 GMT"}, "Date": {asked}}, "none", false, 0, ""},
		{"backoff without an end", 503, http.Header{"Retry-After": {"1e12"}}, "none", false, time.Hour, ""},
		{"negative backoff", 503, http.Header{"Retry-After": {"-3"}}, "none", false, 0, `Retry-After: "-3"`},
		{"backoff in words", 503, http.Header{"Retry-After": {"soon"}}, "none", false, 0, `Retry-After: "soon"`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			announcement := interpreter.ParseAnnouncement(test.status, test.header)
			assert.Equal(t, announcement.Limit.String(), test.limit)
			assert.Equal(t, announcement.Leaving, test.leaving)
			assert.Equal(t, announcement.RetryAfter, test.backoff)
			assert.Equal(t, announcement.Unreadable, test.unreadable)
		})
	}
	for value, limit := range map[string]string{"6": "6", "0": "0", "0.5": "0.5", "1e300": "1e+300", "-6": "none", "many": "none", "": "none", "4, 2": "2"} {
		announcement := interpreter.ParseAnnouncement(200, http.Header{"Server-Brittle": {value}})
		assert.Equal(t, announcement.RejectionLimit.String(), limit, value)
	}
	long := interpreter.ParseAnnouncement(200, http.Header{"Server-Limit": {strings.Repeat("x", 1<<16)}})
	assert.Assert(t, len(long.Unreadable) <= 200)
}

// TestColdIsRead checks what is read of the time for which an upstream warms up.
func TestColdIsRead(t *testing.T) {
	cases := []struct {
		name       string
		values     []string
		cold       time.Duration
		unreadable string
	}{
		{"nothing", nil, 0, ""},
		{"warm", []string{"0"}, 0, ""},
		{"cold", []string{"1500"}, 1500 * time.Millisecond, ""},
		{"a fraction", []string{"0.5"}, 500 * time.Microsecond, ""},
		{"two values", []string{"100, 300"}, 300 * time.Millisecond, ""},
		{"beyond the longest", []string{"1e12"}, time.Minute, ""},
		{"negative", []string{"-1"}, 0, `X-Cold-Ms: "-1"`},
		{"no number", []string{"long", "200"}, 200 * time.Millisecond, `X-Cold-Ms: "long"`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			announcement := interpreter.ParseAnnouncement(http.StatusOK, http.Header{"X-Cold-Ms": test.values})
			assert.Equal(t, announcement.Cold, test.cold)
			assert.Equal(t, announcement.Unreadable, test.unreadable)
		})
	}
}

// FuzzWordsOfUpstreams checks that any header values give an announcement within its bounds.
func FuzzWordsOfUpstreams(f *testing.F) {
	for _, text := range []string{"2.2", "0", "-1", "1e999", "0x1p-3", "Thu, 01 Jan 2026 00:00:00 GMT", "1, 2", ""} {
		f.Add(text, text, text)
	}
	f.Fuzz(func(t *testing.T, limit, leaving, backoff string) {
		header := http.Header{"Server-Limit": {limit}, "Server-Leaving": {leaving}, "Retry-After": {backoff}, "Date": {backoff}, "X-Cold-Ms": {limit, backoff}}
		announcement := interpreter.ParseAnnouncement(http.StatusServiceUnavailable, header)
		perSecond, _ := announcement.Limit.PerSecond()
		assert.Assert(t, perSecond >= 0 && perSecond <= 1e308)
		assert.Assert(t, announcement.RetryAfter >= 0 && announcement.RetryAfter <= time.Hour)
		assert.Assert(t, announcement.Cold >= 0 && announcement.Cold <= interpreter.MaxCold)
		assert.Assert(t, len(announcement.Unreadable) <= 200)
	})
}
