package platform

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults is what POST /faults sets; a field that is not given keeps its value.
type Faults struct {
	// Outage answers every call of the API with 503.
	Outage bool `json:"outage"`
	// OutageHang leaves the calls of an outage without an answer instead.
	OutageHang bool `json:"outageHang"`
	// SlowMs delays every call, in milliseconds, before it takes effect.
	SlowMs int `json:"slowMs"`
	// LoseAnswers is how many writes still take effect and then lose their answer.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersKind limits LoseAnswers to one kind of objects unless it is empty.
	LoseAnswersKind string `json:"loseAnswersKind"`
	// FailWrites is how many writes still fail with 500 without effect.
	FailWrites int `json:"failWrites"`
}

// Calls counts the calls of the API that arrived, refused ones too.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Limited counts those of them that met the rate limit.
	Limited int64 `json:"limited"`
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	faults := platform.faults
	if !host.Update(writer, request, &faults) {
		return
	}
	platform.faults = faults
	platform.wakeLocked()
	host.Answer(writer, http.StatusOK, faults)
}

func (platform *Platform) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	host.Answer(writer, http.StatusOK, platform.faults)
}

func (platform *Platform) getCalls(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	host.Answer(writer, http.StatusOK, platform.calls)
}

func (platform *Platform) currentFaults() Faults {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.faults
}

// wakeLocked lets every waiting watch look again.
func (platform *Platform) wakeLocked() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// failLocked takes one of the writes that are to fail.
func (platform *Platform) failLocked() bool {
	if platform.faults.FailWrites <= 0 {
		return false
	}
	platform.faults.FailWrites--
	return true
}

// loseLocked takes one of the answers that are to be lost.
func (platform *Platform) loseLocked(kind string) bool {
	faults := &platform.faults
	if faults.LoseAnswers <= 0 {
		return false
	}
	if faults.LoseAnswersKind != "" && faults.LoseAnswersKind != kind {
		return false
	}
	faults.LoseAnswers--
	return true
}

// outage answers as the outage wants it and returns true while there is one.
func (platform *Platform) outage(writer http.ResponseWriter, request *http.Request) bool {
	faults := platform.currentFaults()
	if !faults.Outage {
		return false
	}
	if faults.OutageHang {
		platform.host.Hang(request.Context())
		host.Cut(writer)
		return true
	}
	host.Fail(writer, http.StatusServiceUnavailable, "outage", "the platform is away")
	return true
}

// slow delays the call. A write takes effect also when its client has left by
// then.
func (platform *Platform) slow(request *http.Request) {
	duration := time.Duration(platform.currentFaults().SlowMs) * time.Millisecond
	platform.host.Wait(request.Context(), duration)
}
