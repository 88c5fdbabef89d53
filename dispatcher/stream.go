package dispatcher

import (
	"bytes"
	"io"
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
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return decider.Cut
		}
		stall.Reset(attempt.dispatcher.stallTimeout)
		if event.Type == eventPaused || event.Type == eventResumed {
			attempt.pause(event.Type == eventPaused)
			if event.Type == eventPaused {
				stall.Reset(maxPause)
			}
			continue
		}
		if event.Data == endMark {
			result := attempt.closeStream(response.Header)
			stall.Reset(leftOverTimeout)
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxLeftOver))
			return result
		}
		if result := attempt.part([]byte(event.Data), response.Header); result != "" {
			return result
		}
	}
	return decider.Cut
}

// closeStream ends an answer whose end mark came.
func (attempt *attempt) closeStream(header http.Header) decider.AttemptResult {
	if !attempt.finished {
		return decider.Cut
	}
	if err := attempt.push([]byte("data: " + endMark + "\n\n")); err != nil {
		return decider.Abandoned
	}
	if attempt.start.KeepAnswer && attempt.kept.Len() <= maxKeptStream {
		attempt.answer = &decider.StoredAnswer{Status: http.StatusOK, Header: passOn(header), Body: attempt.kept.Bytes()}
	}
	return decider.Complete
}

// part checks one part of an answer and passes it on. It returns a result only
// when the attempt is over.
func (attempt *attempt) part(data []byte, header http.Header) decider.AttemptResult {
	if !gjson.ValidBytes(data) {
		return decider.Broken
	}
	parsed := gjson.ParseBytes(data)
	if parsed.Get("error").Exists() {
		return decider.Broken
	}
	if echoed := parsed.Get(fieldAttempt).String(); echoed != string(attempt.start.Attempt) {
		return attempt.mismatch(echoed)
	}
	finish := parsed.Get("choices.0.finish_reason").String() != ""
	token, fresh, inOrder := attempt.count(parsed)
	if !inOrder {
		return decider.Cut
	}
	doubled := finish && !token && attempt.finished
	attempt.finished = attempt.finished || finish
	if !fresh || doubled {
		return ""
	}
	if err := attempt.pass(data, header); err != nil {
		return decider.Abandoned
	}
	return ""
}

// count takes a part into account. It tells whether the part is a token, whether
// the caller has not got it yet, and whether none is missing before it.
func (attempt *attempt) count(parsed gjson.Result) (token, fresh, inOrder bool) {
	index := parsed.Get(fieldIndex)
	if !index.Exists() && !hasContent(parsed) {
		return false, true, true
	}
	if index.Exists() {
		attempt.indexed = true
		if index.Int() != int64(attempt.delivered) {
			return true, false, index.Int() < int64(attempt.delivered)
		}
	}
	attempt.observe()
	attempt.delivered++
	return true, true, true
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
	if err := attempt.push(part.Bytes()); err != nil {
		return err
	}
	attempt.progress(attempt.delivered)
	return nil
}

// push writes to the caller and notes what may be kept for repeats.
func (attempt *attempt) push(data []byte) error {
	if attempt.start.KeepAnswer && attempt.kept.Len() <= maxKeptStream {
		attempt.kept.Write(data)
	}
	return attempt.write(data)
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
