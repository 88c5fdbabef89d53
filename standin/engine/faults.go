package engine

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults is what POST /faults sets; a field that is not given keeps its value.
// The counts are of what is still to come.
type Faults struct {
	// StallMs stops all sequences once, for so many milliseconds.
	StallMs int `json:"stallMs"`
	// SlowFactor multiplies the time between tokens and the prefill; 1 is as usual.
	SlowFactor float64 `json:"slowFactor"`
	// CutAfterTokens is how many tokens the next CutCount streams send before
	// their connection is closed.
	CutAfterTokens int `json:"cutAfterTokens"`
	CutCount       int `json:"cutCount"`
	// Crossed answers carry another attempt's id and text.
	Crossed int `json:"crossed"`
	// Doubled streams send one chunk twice.
	Doubled int `json:"doubled"`
	// FailBefore answers 503 without running.
	FailBefore int `json:"failBefore"`
	// FailAfter answers 500 after computing the whole answer.
	FailAfter int `json:"failAfter"`
	// Dead takes connections and never answers; nothing is computed.
	Dead bool `json:"dead"`
	host.Announcement
}

// plan is the faults that one answer gets.
type plan struct {
	// cut closes the connection after cutAfter tokens of this stream.
	cut      bool
	cutAfter int
	doubled  bool
	// crossedID is the other attempt's id, empty for an honest answer.
	crossedID string
	failAfter bool
}

// plan takes the faults of one answer off the counts.
func (faults *Faults) plan(attempt *attempt, otherID string) plan {
	ordered := plan{failAfter: take(&faults.FailAfter)}
	if take(&faults.Crossed) {
		ordered.crossedID = otherID
		if otherID == "" || otherID == attempt.id {
			ordered.crossedID = uuid.NewString()
		}
	}
	if !attempt.body.Stream {
		return ordered
	}
	ordered.cut = take(&faults.CutCount)
	ordered.cutAfter = faults.CutAfterTokens
	ordered.doubled = take(&faults.Doubled)
	return ordered
}

func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (engine *Engine) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.wakeLoop()
	faults := engine.faults
	if !host.Update(writer, request, &faults) {
		return
	}
	if faults.StallMs > 0 {
		engine.stalledUntil = time.Now().Add(time.Duration(faults.StallMs) * time.Millisecond)
		faults.StallMs = 0
	}
	engine.faults = faults
	engine.nextStep = time.Time{}
	host.Answer(writer, http.StatusOK, faults)
}

func (engine *Engine) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	host.Answer(writer, http.StatusOK, engine.faults)
}

// alive puts the dead fault before a call.
func (engine *Engine) alive(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		engine.mu.Lock()
		dead := engine.faults.Dead
		engine.mu.Unlock()
		if dead {
			engine.host.Hang(request.Context())
			host.Cut(writer)
			return
		}
		next(writer, request, params)
	}
}
