package dispatcher

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"limpetcleat/decider"
	"limpetcleat/definer"
)

// receiveWhole reads an answer to its end before it forwards any of it. The parameter unrun
// reports whether the upstream refused to run the request.
func (attempt *attempt) receiveWhole(response *http.Response, unrun bool) decider.AttemptResult {
	if lacksFraming(response) {
		return decider.AttemptBroken
	}
	timer := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	defer timer.Stop()
	share := attempt.dispatcher.memory.NewShare()
	defer share.Release()
	body, err := share.ReadAll(response.Request.Context(), response.Body, response.ContentLength, maxWholeAnswer)
	if err != nil {
		return decider.AttemptCut
	}
	if len(body) > maxWholeAnswer {
		return decider.AttemptBroken
	}
	if attempt.start.Kind == definer.Engine && response.StatusCode == http.StatusOK {
		checked, ok := attempt.checkWhole(body)
		if !ok {
			return decider.AttemptBroken
		}
		body = checked
	}
	header := forwardedHeader(response.Header)
	header.Del("Content-Length")
	header.Set(headerOutcome, string(outcomeOf(attempt.start.Kind, response.StatusCode, unrun)))
	if attempt.start.KeepAnswer {
		attempt.answer = &decider.StoredAnswer{Status: response.StatusCode, Header: header, Body: body}
	}
	attempt.sink.Begin(response.StatusCode, header)
	if err := attempt.write(body); err != nil {
		return decider.AttemptAbandoned
	}
	return decider.AttemptComplete
}

// outcomeOf returns the outcome that is reported to the caller with a forwarded answer.
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

// lacksFraming reports whether an answer has neither a length nor chunked encoding, so that
// its end cannot be distinguished from a lost connection.
func lacksFraming(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// write forwards a part of the answer. It hides write errors for an answer that is kept for
// repeats, so that the answer is read to its end even if its caller has left.
func (attempt *attempt) write(data []byte) error {
	err := attempt.sink.Write(data)
	if attempt.start.KeepAnswer {
		return nil
	}
	return err
}

// checkWhole checks that an engine's answer belongs to this attempt and has a finish reason,
// and returns the answer with the id of the request.
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
	restored, err := attempt.rewriteFields(body)
	return restored, err == nil
}
