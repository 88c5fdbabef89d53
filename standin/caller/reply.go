package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"limpetcleat/standin/engine"
)

// streamEndData is the data of the last event of a complete stream.
const streamEndData = "[DONE]"

// Reply is what a caller received for one call.
type Reply struct {
	// Status is 0 if no response was received.
	Status int
	Header http.Header
	// Body is the raw response body as far as it was received.
	Body string
	// Text is the text of a completion. Tokens is its length: the number of tokens received of a
	// stream, otherwise the completion tokens of the reported usage.
	Text   string
	Tokens int
	// Complete is true if the response was received completely: a stream with its last event, any
	// other body as valid JSON of status 200.
	Complete bool
	// Failed is true if an error was reported, by the status or within a stream.
	Failed bool
	// Code is the error's code, or the text of Err if no response was received.
	Code string
	// Outcome is the reported outcome of the run: that of the error, otherwise that of the
	// X-Outcome header. An error event without an outcome clears it.
	Outcome string
	// Err is why the response is missing or incomplete.
	Err error
	// Duration is the time from sending the request to the end of the response.
	Duration time.Duration
}

// ReadReply reads a response to its end without closing the body. If progress is not nil, it is
// called after each token of a streamed response with the number of tokens received so far.
func ReadReply(response *http.Response, progress func(count int)) Reply {
	reply := Reply{Status: response.StatusCode, Header: response.Header, Outcome: response.Header.Get("X-Outcome")}
	reply.Failed = response.StatusCode/100 != 2
	body := &recordingReader{source: response.Body}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.readStream(body, progress)
	} else {
		reply.readBody(body)
	}
	return reply
}

// RequestID returns the ID under which the request was handled.
func (reply Reply) RequestID() string { return reply.Header.Get("X-Request-Id") }

// RetryAfter returns the value of the Retry-After header in seconds, or an empty string.
func (reply Reply) RetryAfter() string { return reply.Header.Get("Retry-After") }

// OfferedKey returns the idempotency key offered in place of a rejected one, or an empty string.
func (reply Reply) OfferedKey() string { return reply.Header.Get("Idempotency-Key-Offer") }

// Replayed reports whether the response is the stored answer of an earlier call with the same key.
func (reply Reply) Replayed() bool { return reply.Header.Get("Idempotency-Replayed") == "true" }

// NotRun reports whether the response states that the call did not run.
func (reply Reply) NotRun() bool { return reply.Outcome == "notRun" }

// MatchesCall reports whether the text received is the beginning of the stand-in engine's answer to
// the call, with no token missing or duplicated.
func (reply Reply) MatchesCall(call Call) bool {
	return reply.Text == engine.ResponseText(call.Model, call.Prompt, 0, reply.Tokens)
}

// String returns a summary of the reply for failure messages.
func (reply Reply) String() string {
	return fmt.Sprintf("status %d outcome %q code %q whole %v tokens %d after %v",
		reply.Status, reply.Outcome, reply.Code, reply.Complete, reply.Tokens, reply.Duration.Round(time.Millisecond))
}

func (reply *Reply) readBody(body *recordingReader) {
	reply.readRemaining(body)
	parsed := gjson.Parse(reply.Body)
	reply.Text = choiceText(parsed, "message")
	reply.Tokens = int(parsed.Get("usage.completion_tokens").Int())
	reply.Complete = reply.Err == nil && gjson.Valid(reply.Body) && reply.Status == http.StatusOK
	failure := parsed.Get("error")
	reply.Code = failure.Get("code").String()
	if outcome := failure.Get("outcome"); reply.Failed && outcome.Exists() {
		reply.Outcome = outcome.String()
	}
	// A stream without the content type of one may still end with an error event.
	for event, err := range sse.Read(strings.NewReader(reply.Body), nil) {
		if err != nil || reply.recordError(gjson.Parse(event.Data)) {
			return
		}
	}
}

func (reply *Reply) readStream(body *recordingReader, progress func(count int)) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		reply.addEvent(event.Data, progress)
	}
	reply.readRemaining(body)
}

// addEvent adds the data of one event to the reply.
func (reply *Reply) addEvent(data string, progress func(count int)) {
	if data == streamEndData {
		reply.Complete = true
		return
	}
	parsed := gjson.Parse(data)
	if reply.recordError(parsed) {
		return
	}
	text := choiceText(parsed, "delta")
	if text == "" {
		return
	}
	reply.Text += text
	reply.Tokens++
	if progress != nil {
		progress(reply.Tokens)
	}
}

// recordError records the error that an event carries and reports whether there is one.
func (reply *Reply) recordError(event gjson.Result) bool {
	failure := event.Get("error")
	if !failure.Exists() {
		return false
	}
	reply.Failed = true
	reply.Code, reply.Outcome = failure.Get("code").String(), failure.Get("outcome").String()
	return true
}

func (reply *Reply) readRemaining(body *recordingReader) {
	_, _ = io.Copy(io.Discard, body)
	reply.Body, reply.Err = body.text.String(), body.err
}

// choiceText returns the text of the first choice of a completion or, from the given field, of a
// chat.
func choiceText(parsed gjson.Result, field string) string {
	return parsed.Get("choices.0.text").String() + parsed.Get("choices.0."+field+".content").String()
}

// recordingReader keeps a copy of all data read from its source.
type recordingReader struct {
	source io.Reader
	text   strings.Builder
	// err is the error with which the source ended, other than io.EOF.
	err error
}

// Read reads from the source and records the data.
func (reader *recordingReader) Read(data []byte) (int, error) {
	count, err := reader.source.Read(data)
	reader.text.Write(data[:count])
	if err != nil && err != io.EOF {
		reader.err = err
	}
	return count, err
}
