package service

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults is what POST /_standin/faults sets; a field that is not given keeps
// its value. The counts are of what is still to come.
type Faults struct {
	// SlowMs is added to the latency of every call, in milliseconds.
	SlowMs int `json:"slowMs"`
	// StallMs holds all calls once, for so many milliseconds.
	StallMs int `json:"stallMs"`
	// FailBefore answers 503 without running.
	FailBefore int `json:"failBefore"`
	// FailAfter runs and then closes the connection without an answer.
	FailAfter int `json:"failAfter"`
	// CutAfterBytes is how much of the body the next CutCount answers send before
	// their connection is closed. A positive CutAfterBytes without CutCount cuts
	// one answer.
	CutAfterBytes int `json:"cutAfterBytes"`
	CutCount      int `json:"cutCount"`
	// Crossed answers carry another attempt's id.
	Crossed int `json:"crossed"`
	// Dead takes connections and never answers; nothing runs.
	Dead bool `json:"dead"`
	host.Announcement
}

// plan is the faults that one run gets.
type plan struct {
	failAfter bool
	crossed   bool
	cut       bool
	cutAfter  int
	slow      time.Duration
}

func (faults *Faults) plan() plan {
	ordered := plan{
		failAfter: take(&faults.FailAfter),
		crossed:   take(&faults.Crossed),
		cutAfter:  faults.CutAfterBytes,
		slow:      time.Duration(faults.SlowMs) * time.Millisecond,
	}
	ordered.cut = take(&faults.CutCount)
	if faults.CutCount == 0 {
		faults.CutAfterBytes = 0
	}
	return ordered
}

func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (service *Service) routes() http.Handler {
	router := httprouter.New()
	router.GET(ownPrefix+"health", service.getHealth)
	router.GET(ownPrefix+"runs", service.getRuns)
	router.GET(ownPrefix+"faults", service.getFaults)
	router.POST(ownPrefix+"faults", service.setFaults)
	return router
}

func (service *Service) getHealth(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	if service.dead(writer, request) {
		return
	}
	host.Answer(writer, http.StatusOK, struct{}{})
}

func (service *Service) getRuns(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	query := request.URL.Query()
	service.mu.Lock()
	runs := service.runs.find(query.Get("attemptId"), query.Get("key"))
	service.mu.Unlock()
	host.Answer(writer, http.StatusOK, runs)
}

func (service *Service) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	host.Answer(writer, http.StatusOK, service.faults)
}

func (service *Service) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	faults := service.faults
	if !host.Update(writer, request, &faults) {
		return
	}
	if faults.CutAfterBytes > 0 && faults.CutCount == 0 {
		faults.CutCount = 1
	}
	if faults.StallMs > 0 {
		service.stalledUntil = time.Now().Add(time.Duration(faults.StallMs) * time.Millisecond)
		faults.StallMs = 0
	}
	service.faults = faults
	host.Answer(writer, http.StatusOK, faults)
}

// dead hangs and returns true while the service is dead.
func (service *Service) dead(writer http.ResponseWriter, request *http.Request) bool {
	service.mu.Lock()
	dead := service.faults.Dead
	service.mu.Unlock()
	if !dead {
		return false
	}
	service.host.Hang(request.Context())
	host.Cut(writer)
	return true
}
