package engine

import (
	"encoding/json"
	"net/http"

	"limpetcleat/standin/internal/host"
)

// streamer writes one attempt's answer as server-sent events, a token a chunk.
type streamer struct {
	*completion
	controller *http.ResponseController
	// next is the first token that was not written; written counts those of this
	// stream.
	next    int
	written int
	// double is the token to send twice, below zero for none.
	double  int
	pauses  int
	resumes int
	opened  bool
	failed  bool
}

func newStreamer(completion *completion) *streamer {
	first := completion.attempt.offset
	streamer := &streamer{
		completion: completion,
		controller: http.NewResponseController(completion.writer),
		next:       first,
		double:     -1,
		pauses:     completion.reader.pauses,
		resumes:    completion.reader.resumes,
	}
	if completion.plan.doubled {
		streamer.double = first + (completion.reader.sequence.length-first)/2
	}
	return streamer
}

// run writes until the answer ends, the client leaves or a fault cuts it.
func (streamer *streamer) run() {
	for {
		view, ok := streamer.await(streamer.hasNews)
		if !ok {
			return
		}
		if view.state == stateCancelled && !streamer.opened {
			streamer.refuseCancelled(view)
			return
		}
		streamer.notice(view)
		if streamer.writeTokens(view.next) {
			host.Cut(streamer.writer)
			return
		}
		if view.state == stateCancelled {
			streamer.event(host.Failure{Error: host.FailureDetail{
				Message: "the attempt was cancelled", Type: string(KindCancelled),
			}})
			streamer.flush()
			return
		}
		if view.state == stateFinished {
			streamer.end()
			return
		}
		streamer.flush()
		if streamer.failed {
			return
		}
	}
}

func (streamer *streamer) hasNews(view view) bool {
	return view.next > streamer.next || view.pauses > streamer.pauses || view.resumes > streamer.resumes
}

// notice tells the client of pauses since the last look.
func (streamer *streamer) notice(view view) {
	for streamer.pauses < view.pauses || streamer.resumes < view.resumes {
		if streamer.pauses < view.pauses {
			streamer.pauses++
			streamer.line("event: paused\ndata: {}\n\n")
		}
		if streamer.resumes < view.resumes {
			streamer.resumes++
			streamer.line("event: resumed\ndata: {}\n\n")
		}
	}
}

// writeTokens writes the tokens before end. It returns true when the stream is
// to be cut.
func (streamer *streamer) writeTokens(end int) (cut bool) {
	for streamer.next < end {
		if streamer.plan.cut && streamer.written >= streamer.plan.cutAfter {
			break
		}
		index := streamer.next
		streamer.token(index)
		if index == streamer.double {
			streamer.token(index)
		}
		streamer.next++
		streamer.written++
	}
	streamer.engine.sent(streamer.reader, streamer.next)
	atCut := streamer.written >= streamer.plan.cutAfter || streamer.next == streamer.reader.sequence.length
	if streamer.plan.cut && atCut {
		streamer.flush()
		return true
	}
	return false
}

func (streamer *streamer) token(index int) {
	sequence := streamer.reader.sequence
	choice := streamer.format.partChoice(streamer.text.token(index))
	chunk := streamer.chunk(streamer.format.part(), choice)
	chunk.TokenIndex = &index
	if index == sequence.length-1 {
		chunk.Choices[0].FinishReason = new(sequence.finishReason())
		if !streamer.attempt.body.StreamOptions.IncludeUsage {
			chunk.Usage = streamer.usage()
		}
	}
	streamer.event(chunk)
}

// end writes what follows the last token.
func (streamer *streamer) end() {
	if streamer.written == 0 {
		choice := streamer.format.partChoice("")
		choice.FinishReason = new(streamer.reader.sequence.finishReason())
		streamer.event(streamer.chunk(streamer.format.part(), choice))
	}
	if streamer.attempt.body.StreamOptions.IncludeUsage {
		chunk := streamer.chunk(streamer.format.part())
		chunk.Choices = []Choice{}
		chunk.Usage = streamer.usage()
		streamer.event(chunk)
	}
	streamer.line("data: [DONE]\n\n")
	streamer.flush()
}

func (streamer *streamer) event(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		streamer.failed = true
		return
	}
	streamer.line("data: " + string(encoded) + "\n\n")
}

func (streamer *streamer) line(text string) {
	streamer.open()
	if _, err := streamer.writer.Write([]byte(text)); err != nil {
		streamer.failed = true
	}
}

// open sends the headers, late so that an attempt that never starts can still
// be refused.
func (streamer *streamer) open() {
	if streamer.opened {
		return
	}
	streamer.opened = true
	header := streamer.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderAttemptID, streamer.id)
	streamer.writer.WriteHeader(http.StatusOK)
}

func (streamer *streamer) flush() {
	if streamer.opened && streamer.controller.Flush() != nil {
		streamer.failed = true
	}
}
