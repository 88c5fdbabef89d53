package dispatcher

import (
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"limpetcleat/decider"
	"limpetcleat/definer"
)

// whole reads an answer to its end before the caller gets any of it. Unrun says
// that the upstream refused to run the request.
func (attempt *attempt) whole(response *http.Response, unrun bool) decider.AttemptResult {
	if unbounded(response) {
		return decider.Broken
	}
	watch := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	defer watch.Stop()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeAnswer+1))
	if err != nil {
		return decider.Cut
	}
	if len(body) > maxWholeAnswer {
		return decider.Broken
	}
	if attempt.start.Kind == definer.Engine && response.StatusCode == http.StatusOK {
		checked, ok := attempt.checkWhole(body)
		if !ok {
			return decider.Broken
		}
		body = checked
	}
	header := passOn(response.Header)
	header.Del("Content-Length")
	header.Set(headerOutcome, string(outcomeOf(attempt.start.Kind, response.StatusCode, unrun)))
	if attempt.start.KeepAnswer {
		attempt.answer = &decider.StoredAnswer{Status: response.StatusCode, Header: header, Body: body}
	}
	attempt.sink.Begin(response.StatusCode, header)
	if err := attempt.write(body); err != nil {
		return decider.Abandoned
	}
	return decider.Complete
}

// outcomeOf returns what may be told of a request whose answer is passed on.
func outcomeOf(kind definer.PoolKind, status int, unrun bool) definer.Outcome {
	switch {
	case unrun:
		return definer.NotRun
	case kind == definer.Engine && status != http.StatusOK:
		return definer.Unknown
	default:
		return definer.Ran
	}
}

// unbounded tells whether the end of an answer cannot be told from a cut.
func unbounded(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// write passes a part of the answer on. An answer that is kept for repeats is
// read to its end also when its caller has left.
func (attempt *attempt) write(data []byte) error {
	err := attempt.sink.Write(data)
	if attempt.start.KeepAnswer {
		return nil
	}
	return err
}

// checkWhole checks that a whole answer of an engine is this attempt's and has
// a finish reason, and returns it under the request's own id.
func (attempt *attempt) checkWhole(body []byte) ([]byte, bool) {
	if !gjson.ValidBytes(body) {
		return nil, false
	}
	parsed := gjson.ParseBytes(body)
	if echoed := parsed.Get(fieldAttempt).String(); echoed != string(attempt.start.Attempt) {
		attempt.mismatch(echoed)
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
