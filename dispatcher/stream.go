package dispatcher

import (
	"bytes"
	"net/http"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"limpetcleat/decider"
)

const (
	endMark = "[DONE]"
	// Names of events by which an engine tells that it paused a request for a
	// more urgent one and that it goes on.
	eventPaused  = "paused"
	eventResumed = "resumed"
	// Fields that the upstream adds to each part of an answer.
	fieldAttempt = "attemptId"
	fieldIndex   = "tokenIndex"
	maxEventSize = 1 << 20
)

// stream passes tokens on as they come. It is complete only with a finish
// reason and the end mark.
func (attempt *attempt) stream(response *http.Response) decider.AttemptResult {
	stall := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	defer stall.Stop()
	finished := false
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return decider.Cut
		}
		stall.Reset(attempt.dispatcher.stallTimeout)
		if event.Type == eventPaused || event.Type == eventResumed {
			attempt.pause(event.Type == eventPaused)
			continue
		}
		if event.Data == endMark {
			return attempt.closeStream(finished)
		}
		result, finish := attempt.part([]byte(event.Data), response.Header)
		if result != "" {
			return result
		}
		finished = finished || finish
	}
	return decider.Cut
}

// closeStream ends an answer whose end mark came.
func (attempt *attempt) closeStream(finished bool) decider.AttemptResult {
	if !finished {
		return decider.Cut
	}
	if err := attempt.sink.Write([]byte("data: " + endMark + "\n\n")); err != nil {
		return decider.Abandoned
	}
	return decider.Complete
}

// part checks one part of an answer and passes it on. It returns a result only
// when the attempt is over, and whether the part carries the finish reason.
func (attempt *attempt) part(data []byte, header http.Header) (decider.AttemptResult, bool) {
	parsed := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || parsed.Get("error").Exists() {
		return decider.Broken, false
	}
	if parsed.Get(fieldAttempt).String() != string(attempt.start.Attempt) {
		return decider.Broken, false
	}
	finish := parsed.Get("choices.0.finish_reason").String() != ""
	fresh, inOrder := attempt.count(parsed)
	if !inOrder {
		return decider.Cut, false
	}
	if !fresh {
		return "", finish
	}
	if err := attempt.pass(data, header); err != nil {
		return decider.Abandoned, false
	}
	return "", finish
}

// count takes a token into account. It returns false first for one that the
// caller has already got, and false second for one out of order.
func (attempt *attempt) count(parsed gjson.Result) (bool, bool) {
	index := parsed.Get(fieldIndex)
	token := index.Exists() || hasContent(parsed)
	if !token {
		return true, true
	}
	if index.Exists() {
		attempt.indexed = true
		if int(index.Int()) < attempt.delivered {
			return false, true
		}
		if int(index.Int()) > attempt.delivered {
			return false, false
		}
	}
	attempt.observe()
	attempt.delivered++
	return true, true
}

func hasContent(parsed gjson.Result) bool {
	return parsed.Get("choices.0.delta.content").String() != "" || parsed.Get("choices.0.text").String() != ""
}

// observe notes the time of a token.
func (attempt *attempt) observe() {
	now := time.Now()
	attempt.pause(false)
	if attempt.observation.Tokens == 0 {
		attempt.observation.FirstToken = now.Sub(attempt.began)
	}
	attempt.observation.Tokens++
	attempt.lastToken = now
}

// pause notes that the engine paused the request or goes on with it.
func (attempt *attempt) pause(paused bool) {
	if !attempt.pausedSince.IsZero() {
		attempt.observation.Paused += time.Since(attempt.pausedSince)
		attempt.pausedSince = time.Time{}
	}
	if paused {
		attempt.pausedSince = time.Now()
	}
}

// pass writes one part to the caller, under the request's own id.
func (attempt *attempt) pass(data []byte, header http.Header) error {
	data, err := attempt.restore(data)
	if err != nil {
		return err
	}
	if !attempt.sink.Begun() {
		attempt.sink.Begin(http.StatusOK, passOn(header))
	}
	var part bytes.Buffer
	part.WriteString("data: ")
	part.Write(data)
	part.WriteString("\n\n")
	if err := attempt.sink.Write(part.Bytes()); err != nil {
		return err
	}
	attempt.progress(attempt.delivered)
	return nil
}

// restore takes the fields out that are not the caller's and sets one id for
// the whole answer, whichever attempts it came from.
func (attempt *attempt) restore(data []byte) ([]byte, error) {
	for _, field := range []string{fieldAttempt, fieldIndex} {
		cleaned, err := sjson.DeleteBytes(data, field)
		if err != nil {
			return nil, err
		}
		data = cleaned
	}
	return sjson.SetBytes(data, "id", "limpetcleat-"+string(attempt.start.Request))
}

// checkWhole checks that a whole answer of an engine is this attempt's and has
// a finish reason, and returns it under the request's own id.
func (attempt *attempt) checkWhole(body []byte) ([]byte, bool) {
	parsed := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || parsed.Get(fieldAttempt).String() != string(attempt.start.Attempt) {
		return nil, false
	}
	if parsed.Get("choices.0.finish_reason").String() == "" {
		return nil, false
	}
	attempt.observation.Tokens = int(parsed.Get("usage.completion_tokens").Int())
	attempt.delivered = attempt.observation.Tokens
	restored, err := attempt.restore(body)
	return restored, err == nil
}
