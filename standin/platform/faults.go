package platform

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Faults configures fault injection through POST /faults; an omitted field keeps its value.
type Faults struct {
	// Outage makes every API request fail with 503.
	Outage bool `json:"outage"`
	// OutageHang makes requests during an outage hang without a response instead.
	OutageHang bool `json:"outageHang"`
	// SlowMs is the delay of every API request before it takes effect, in milliseconds.
	SlowMs int `json:"slowMs"`
	// LoseAnswers is the number of subsequent writes that take effect but whose response is lost.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAnswersKind restricts LoseAnswers to one kind of object; empty means all kinds.
	LoseAnswersKind string `json:"loseAnswersKind"`
	// FailWrites is the number of subsequent writes that fail with 500 and have no effect.
	FailWrites int `json:"failWrites"`
}

// Calls counts the received API requests, including those rejected by a rate limit or an outage.
// Requests without a valid token are not counted.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Limited counts the requests among these that exceeded a rate limit.
	Limited int64 `json:"limited"`
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	faults := platform.faults
	if !host.DecodeJSON(writer, request, &faults) {
		return
	}
	platform.faults = faults
	platform.notifyWatchersLocked()
	host.WriteJSON(writer, http.StatusOK, faults)
}

func (platform *Platform) getFaults(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, platform.faults)
}

func (platform *Platform) getCalls(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, platform.calls)
}

func (platform *Platform) currentFaults() Faults {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.faults
}

// notifyWatchersLocked makes every pending watch check the store and the faults again.
func (platform *Platform) notifyWatchersLocked() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// takeFailedWriteLocked reports whether the current write has to fail, and decrements FailWrites if
// so.
func (platform *Platform) takeFailedWriteLocked() bool {
	if platform.faults.FailWrites <= 0 {
		return false
	}
	platform.faults.FailWrites--
	return true
}

// takeLostResponseLocked reports whether the response to the current write has to be lost, and
// decrements LoseAnswers if so.
func (platform *Platform) takeLostResponseLocked(kind string) bool {
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

// serveOutage reports whether an outage is configured, and handles the request accordingly if so.
func (platform *Platform) serveOutage(writer http.ResponseWriter, request *http.Request) bool {
	faults := platform.currentFaults()
	if !faults.Outage {
		return false
	}
	if faults.OutageHang {
		platform.host.WaitUntilDone(request.Context())
		host.CloseConnection(writer)
		return true
	}
	host.WriteError(writer, http.StatusServiceUnavailable, "outage", "the platform is away")
	return true
}

// delayRequest waits for the configured delay, or until the client disconnects or the platform is
// closed. A write takes effect even if its client has disconnected.
func (platform *Platform) delayRequest(request *http.Request) {
	duration := time.Duration(platform.currentFaults().SlowMs) * time.Millisecond
	platform.host.Sleep(request.Context(), duration)
}
