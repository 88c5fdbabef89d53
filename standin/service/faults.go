package service

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults is the body of POST /_standin/faults; a field that is missing keeps its
// value. FailBefore, FailAfter, CutCount and Crossed are the numbers of calls that
// the fault still affects.
type Faults struct {
	// SlowMs is added to the latency of every call, in milliseconds.
	SlowMs int `json:"slowMs"`
	// StallMs stalls all runs once, for this number of milliseconds from now on.
	StallMs int `json:"stallMs"`
	// FailBefore responds with 503 without running.
	FailBefore int `json:"failBefore"`
	// FailAfter runs and then closes the connection without a response.
	FailAfter int `json:"failAfter"`
	// CutAfterBytes is the number of bytes of the body that the next CutCount
	// answers send before their connection is closed. A positive CutAfterBytes
	// without CutCount cuts one answer.
	CutAfterBytes int `json:"cutAfterBytes"`
	CutCount      int `json:"cutCount"`
	// Crossed answers carry the ID of another attempt.
	Crossed int `json:"crossed"`
	// Dead accepts connections and never responds; nothing runs.
	Dead bool `json:"dead"`
	host.Announcement
}

// runFaults holds the faults of one run.
type runFaults struct {
	failAfter      bool
	crossAttemptID bool
	cutBody        bool
	cutAfterBytes  int
	addedLatency   time.Duration
}

// takeForRun returns the faults for the next run and decrements their counts.
func (faults *Faults) takeForRun() runFaults {
	taken := runFaults{
		failAfter:      consume(&faults.FailAfter),
		crossAttemptID: consume(&faults.Crossed),
		cutAfterBytes:  faults.CutAfterBytes,
		addedLatency:   time.Duration(faults.SlowMs) * time.Millisecond,
	}
	taken.cutBody = consume(&faults.CutCount)
	if faults.CutCount == 0 {
		faults.CutAfterBytes = 0
	}
	return taken
}

// consume decrements a positive count and reports whether it was positive.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (service *Service) adminRoutes() http.Handler {
	router := httprouter.New()
	router.GET(adminPrefix+"health", service.getHealth)
	router.GET(adminPrefix+"runs", service.getRuns)
	router.GET(adminPrefix+"faults", service.getFaults)
	router.POST(adminPrefix+"faults", service.setFaults)
	return router
}

func (service *Service) getHealth(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	if service.hangIfDead(writer, request) {
		return
	}
	host.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (service *Service) getRuns(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	query := request.URL.Query()
	service.mu.Lock()
	runs := service.runs.find(query.Get("attemptId"), query.Get("key"))
	service.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, runs)
}

func (service *Service) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, service.faults)
}

func (service *Service) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	faults := service.faults
	if !host.DecodeJSON(writer, request, &faults) {
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
	host.WriteJSON(writer, http.StatusOK, faults)
}

// hangIfDead reports whether the Dead fault is set. If so, it first blocks until
// the request or the service ends and then closes the connection.
func (service *Service) hangIfDead(writer http.ResponseWriter, request *http.Request) bool {
	service.mu.Lock()
	dead := service.faults.Dead
	service.mu.Unlock()
	if !dead {
		return false
	}
	service.host.WaitUntilDone(request.Context())
	host.CloseConnection(writer)
	return true
}
