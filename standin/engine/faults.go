package engine

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults is the fault injection state that POST /faults updates; a field that is absent from the
// request keeps its value. Counts are the remaining number of responses to affect.
type Faults struct {
	// StallMs stalls all sequences once, for this number of milliseconds.
	StallMs int `json:"stallMs"`
	// SlowFactor multiplies the time between tokens and the prefill time; 1 is normal speed, and 0
	// or less has no effect.
	SlowFactor float64 `json:"slowFactor"`
	// CutAfterTokens is the number of tokens that the next CutCount streams send before the engine
	// closes their connection.
	CutAfterTokens int `json:"cutAfterTokens"`
	CutCount       int `json:"cutCount"`
	// Crossed is the number of responses that carry the ID of another attempt and a text derived
	// from that ID.
	Crossed int `json:"crossed"`
	// Doubled is the number of streams that send one chunk twice.
	Doubled int `json:"doubled"`
	// FailBefore is the number of attempts refused with status 503 before they run.
	FailBefore int `json:"failBefore"`
	// FailAfter is the number of attempts that end with status 500 after the whole computation.
	FailAfter int `json:"failAfter"`
	// Dead accepts connections but sends no response and computes nothing. /runs and /faults still
	// respond.
	Dead bool `json:"dead"`
	host.Announcement
}

// faultPlan holds the faults to inject into one response.
type faultPlan struct {
	// cut closes the connection after cutAfter tokens of this stream, or at its end if that is
	// earlier.
	cut      bool
	cutAfter int
	doubled  bool
	// crossedID replaces the attempt ID in the response; empty injects no such fault.
	crossedID string
	failAfter bool
}

// plan returns the faults for the next response and decrements their counts. otherID is the attempt
// ID for a crossed response; if it is empty or the attempt's own ID, a random one replaces it.
func (faults *Faults) plan(attempt *attempt, otherID string) faultPlan {
	plan := faultPlan{failAfter: consume(&faults.FailAfter)}
	if consume(&faults.Crossed) {
		plan.crossedID = otherID
		if otherID == "" || otherID == attempt.id {
			plan.crossedID = uuid.NewString()
		}
	}
	if !attempt.body.Stream {
		return plan
	}
	plan.cut = consume(&faults.CutCount)
	plan.cutAfter = faults.CutAfterTokens
	plan.doubled = consume(&faults.Doubled)
	return plan
}

// consume decrements a positive count and reports whether it did.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (engine *Engine) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	defer engine.notifyLoop()
	faults := engine.faults
	if !host.DecodeJSON(writer, request, &faults) {
		return
	}
	if faults.StallMs > 0 {
		engine.stalledUntil = time.Now().Add(time.Duration(faults.StallMs) * time.Millisecond)
		faults.StallMs = 0
	}
	engine.faults = faults
	engine.nextStep = time.Time{}
	host.WriteJSON(writer, http.StatusOK, faults)
}

func (engine *Engine) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, engine.faults)
}

// hangIfDead wraps a handler. While the Dead fault is set, it blocks until the client disconnects
// or the engine is closed, then closes the connection.
func (engine *Engine) hangIfDead(next httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		engine.mu.Lock()
		dead := engine.faults.Dead
		engine.mu.Unlock()
		if dead {
			engine.host.WaitUntilDone(request.Context())
			host.CloseConnection(writer)
			return
		}
		next(writer, request, params)
	}
}
