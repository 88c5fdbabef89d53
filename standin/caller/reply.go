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

// streamEnd is the data of the last event of a whole stream.
const streamEnd = "[DONE]"

// Reply is what a caller got for one call.
type Reply struct {
	// Status is 0 when the connection ended without an answer.
	Status int
	Header http.Header
	// Body is all that came, in bytes as they came.
	Body string
	// Text is what a completion says, and Tokens its length: of a stream the tokens that came, else
	// the usage told.
	Text   string
	Tokens int
	// Whole says that the answer, of status 200, came to its end without an error.
	Whole bool
	// Failed says that an error was told, by the status or within a stream.
	Failed bool
	// Code is the error's code, or why there is no answer.
	Code string
	// Outcome is what was told last of the run: with the error, else in the header.
	Outcome string
	// Err is why the answer did not come, or not to its end.
	Err  error
	Took time.Duration
}

// Read reads a response to its end; progress, if any, gets the number of tokens of a stream.
func Read(response *http.Response, progress func(count int)) Reply {
	reply := Reply{Status: response.StatusCode, Header: response.Header, Outcome: response.Header.Get("X-Outcome")}
	reply.Failed = response.StatusCode/100 != 2
	body := &recorder{source: response.Body}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply.readStream(body, progress)
	} else {
		reply.readWhole(body)
	}
	return reply
}

// RequestID returns the id under which the request was handled.
func (reply Reply) RequestID() string { return reply.Header.Get("X-Request-Id") }

// RetryAfter returns when to come back, in seconds, if that was told.
func (reply Reply) RetryAfter() string { return reply.Header.Get("Retry-After") }

// Offer returns the key offered in place of a refused one.
func (reply Reply) Offer() string { return reply.Header.Get("Idempotency-Key-Offer") }

// Replayed tells whether this is a stored answer.
func (reply Reply) Replayed() bool { return reply.Header.Get("Idempotency-Replayed") == "true" }

// NotRun tells whether the caller was told that the call did not run.
func (reply Reply) NotRun() bool { return reply.Outcome == "notRun" }

// Own tells whether what came of the answer is the call's own, as the stand-in engines have it, from
// its first token on and without one lost or doubled.
func (reply Reply) Own(call Call) bool {
	return reply.Text == engine.Answer(call.Model, call.Prompt, 0, reply.Tokens)
}

// String returns the reply's main points.
func (reply Reply) String() string {
	return fmt.Sprintf("status %d outcome %q code %q whole %v tokens %d after %v",
		reply.Status, reply.Outcome, reply.Code, reply.Whole, reply.Tokens, reply.Took.Round(time.Millisecond))
}

func (reply *Reply) readWhole(body *recorder) {
	reply.readRest(body)
	parsed := gjson.Parse(reply.Body)
	reply.Text = textOf(parsed, "message")
	reply.Tokens = int(parsed.Get("usage.completion_tokens").Int())
	reply.Whole = reply.Err == nil && gjson.Valid(reply.Body) && reply.Status == http.StatusOK
	failure := parsed.Get("error")
	reply.Code = failure.Get("code").String()
	if told := failure.Get("outcome"); reply.Failed && told.Exists() {
		reply.Outcome = told.String()
	}
	// A stream that was never named as one may still end with an error.
	for event, err := range sse.Read(strings.NewReader(reply.Body), nil) {
		if err != nil || reply.fail(gjson.Parse(event.Data)) {
			return
		}
	}
}

func (reply *Reply) readStream(body *recorder, progress func(count int)) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		reply.take(event.Data, progress)
	}
	reply.readRest(body)
}

// take reads one event's data.
func (reply *Reply) take(data string, progress func(count int)) {
	if data == streamEnd {
		reply.Whole = true
		return
	}
	parsed := gjson.Parse(data)
	if reply.fail(parsed) {
		return
	}
	text := textOf(parsed, "delta")
	if text == "" {
		return
	}
	reply.Text += text
	reply.Tokens++
	if progress != nil {
		progress(reply.Tokens)
	}
}

// fail takes in the error that an event tells, if it does.
func (reply *Reply) fail(event gjson.Result) bool {
	failure := event.Get("error")
	if !failure.Exists() {
		return false
	}
	reply.Failed = true
	reply.Code, reply.Outcome = failure.Get("code").String(), failure.Get("outcome").String()
	return true
}

func (reply *Reply) readRest(body *recorder) {
	_, _ = io.Copy(io.Discard, body)
	reply.Body, reply.Err = body.text.String(), body.err
}

// textOf returns the first choice's text, of a completion or of a chat.
func textOf(parsed gjson.Result, part string) string {
	return parsed.Get("choices.0.text").String() + parsed.Get("choices.0."+part+".content").String()
}

// recorder keeps what is read.
type recorder struct {
	source io.Reader
	text   strings.Builder
	// err is why the source broke off.
	err error
}

// Read reads from the source.
func (recorder *recorder) Read(data []byte) (int, error) {
	count, err := recorder.source.Read(data)
	recorder.text.Write(data[:count])
	if err != nil && err != io.EOF {
		recorder.err = err
	}
	return count, err
}
