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
	"limpetcleat/rationer"
)

const (
	endMark = "[DONE]"
	// Types of the events by which an engine reports that it paused a request for a
	// more urgent one and that it resumed the request.
	eventPaused  = "paused"
	eventResumed = "resumed"
	// Fields that the upstream adds to each chunk of an answer.
	fieldAttempt = "attemptId"
	fieldIndex   = "tokenIndex"
	maxEventSize = 1 << 20
	// freeEvent is the size in bytes of an incomplete event that takes no memory from the rationer, and
	// eventCost how many bytes of memory each byte of a larger one takes while its buffer grows.
	freeEvent = 4 << 10
	eventCost = 3
)

// eventAllowance returns what a stream may take for an incomplete event.
func eventAllowance() rationer.Allowance {
	return rationer.Allowance{Free: freeEvent, Limit: 2 * maxEventSize, Cost: eventCost}
}

// receiveStream forwards tokens as they arrive. The answer is complete only with a finish
// reason and the end mark.
func (attempt *attempt) receiveStream(response *http.Response) decider.AttemptResult {
	stall := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	defer stall.Stop()
	events := rationer.NewMeteredReader(response.Body, attempt.dispatcher.memory.NewMeter(eventAllowance()))
	defer events.Reset()
	for event, err := range sse.Read(events, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return decider.AttemptCut
		}
		events.Reset()
		stall.Reset(attempt.dispatcher.stallTimeout)
		if event.Type == eventPaused || event.Type == eventResumed {
			attempt.setPaused(event.Type == eventPaused)
			if event.Type == eventPaused {
				stall.Reset(maxPause)
			}
			continue
		}
		if event.Data == endMark {
			result := attempt.closeStream(response.Header)
			stall.Reset(drainTimeout)
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrain))
			return result
		}
		if result := attempt.receiveChunk([]byte(event.Data), response.Header); result != "" {
			return result
		}
	}
	return decider.AttemptCut
}

// closeStream completes a stream whose end mark has arrived. Without a finish reason the
// stream counts as cut.
func (attempt *attempt) closeStream(header http.Header) decider.AttemptResult {
	if !attempt.finished {
		return decider.AttemptCut
	}
	if err := attempt.writeAndKeep([]byte("data: " + endMark + "\n\n")); err != nil {
		return decider.AttemptAbandoned
	}
	if attempt.start.KeepAnswer && attempt.keptStream.Len() <= maxKeptStream {
		attempt.answer = &decider.StoredAnswer{Status: http.StatusOK, Header: forwardedHeader(header), Body: attempt.keptStream.Bytes()}
	}
	return decider.AttemptComplete
}

// receiveChunk checks one chunk of a stream and forwards it. It returns an empty result
// while the stream goes on.
func (attempt *attempt) receiveChunk(data []byte, header http.Header) decider.AttemptResult {
	if !gjson.ValidBytes(data) {
		return decider.AttemptBroken
	}
	parsed := gjson.ParseBytes(data)
	if parsed.Get("error").Exists() {
		return decider.AttemptBroken
	}
	if echoed := parsed.Get(fieldAttempt).String(); echoed != string(attempt.start.Attempt) {
		return attempt.mismatch(echoed)
	}
	finish := parsed.Get("choices.0.finish_reason").String() != ""
	token, fresh, inOrder := attempt.countToken(parsed)
	if !inOrder {
		return decider.AttemptCut
	}
	doubled := finish && !token && attempt.finished
	attempt.finished = attempt.finished || finish
	if !fresh || doubled {
		return ""
	}
	if err := attempt.forwardChunk(data, header); err != nil {
		return decider.AttemptAbandoned
	}
	return ""
}

// countToken counts the token of a chunk. It reports whether the chunk has a token, whether
// the chunk has not been forwarded yet, and whether no token is missing before it.
func (attempt *attempt) countToken(parsed gjson.Result) (token, fresh, inOrder bool) {
	index := parsed.Get(fieldIndex)
	if !index.Exists() && !hasContent(parsed) {
		return false, true, true
	}
	if index.Exists() {
		attempt.resumable = true
		if index.Int() != int64(attempt.delivered) {
			return true, false, index.Int() < int64(attempt.delivered)
		}
	}
	attempt.observeToken()
	attempt.delivered++
	return true, true, true
}

func hasContent(parsed gjson.Result) bool {
	return parsed.Get("choices.0.delta.content").String() != "" || parsed.Get("choices.0.text").String() != ""
}

// observeToken records the arrival of a token.
func (attempt *attempt) observeToken() {
	now := time.Now()
	attempt.setPaused(false)
	if attempt.observation.Tokens == 0 {
		attempt.observation.FirstToken = now.Sub(attempt.began)
	}
	attempt.observation.Tokens++
	attempt.lastToken = now
}

// setPaused records that the engine paused or resumed the request.
func (attempt *attempt) setPaused(paused bool) {
	if !attempt.pausedSince.IsZero() {
		attempt.observation.Paused += time.Since(attempt.pausedSince)
		attempt.pausedSince = time.Time{}
	}
	if paused {
		attempt.pausedSince = time.Now()
	}
}

// forwardChunk writes one chunk to the caller, with the id of the request.
func (attempt *attempt) forwardChunk(data []byte, header http.Header) error {
	data, err := attempt.rewriteFields(data)
	if err != nil {
		return err
	}
	if !attempt.sink.Begun() {
		attempt.sink.Begin(http.StatusOK, forwardedHeader(header))
	}
	var part bytes.Buffer
	part.WriteString("data: ")
	part.Write(data)
	part.WriteString("\n\n")
	if err := attempt.writeAndKeep(part.Bytes()); err != nil {
		return err
	}
	attempt.progress(attempt.delivered)
	return nil
}

// writeAndKeep writes to the caller and, for a request with KeepAnswer, keeps the data to
// answer repeats.
func (attempt *attempt) writeAndKeep(data []byte) error {
	if attempt.start.KeepAnswer && attempt.keptStream.Len() <= maxKeptStream {
		attempt.keptStream.Write(data)
	}
	return attempt.write(data)
}

// rewriteFields removes the fields that are not meant for the caller and sets the same id in
// the whole answer, whichever attempts produced it.
func (attempt *attempt) rewriteFields(data []byte) ([]byte, error) {
	for _, field := range []string{fieldAttempt, fieldIndex} {
		cleaned, err := sjson.DeleteBytes(data, field)
		if err != nil {
			return nil, err
		}
		data = cleaned
	}
	return sjson.SetBytes(data, "id", "limpetcleat-"+string(attempt.start.Request))
}
