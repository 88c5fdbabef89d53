package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"limpetcleat/standin/internal/host"
)

// Headers of a call and its answer.
const (
	HeaderAttemptID = "X-Attempt-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderNotRun    = "X-Not-Run"
)

const maxBodyBytes = 8 << 20

// Answer is the body of every answer of the service.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Target is the request's target as it came.
	Target    string `json:"target"`
	AttemptID string `json:"attemptId"`
	Key       string `json:"key"`
	// Runs is the number of recorded runs of the key, or of the attempt if the call
	// has no key, this run included.
	Runs int `json:"runs"`
	// Echo is the SHA-256 hash of the request body in hexadecimal.
	Echo string `json:"echo"`
}

func (service *Service) handleCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writer.Header().Set(HeaderNotRun, "1")
		host.WriteError(writer, http.StatusRequestEntityTooLarge, "invalidBody", err.Error())
		return
	}
	if service.hangIfDead(writer, request) {
		return
	}
	run := Run{
		AttemptID: request.Header.Get(HeaderAttemptID),
		Key:       request.Header.Get(HeaderKey),
		Method:    request.Method,
		Path:      request.URL.Path,
		AtMs:      time.Now().UnixMilli(),
	}
	runs, faults, accepted := service.startRun(run)
	announcement := service.currentAnnouncement()
	announcement.SetHeaders(writer.Header())
	if !accepted {
		writeRefusal(writer, run.AttemptID, announcement)
		return
	}
	service.simulateRun(request, run.Path, faults)
	if faults.failAfter {
		host.CloseConnection(writer)
		return
	}
	digest := sha256.Sum256(body)
	answer := Answer{
		Service: service.name, Path: run.Path, Target: request.RequestURI, AttemptID: run.AttemptID, Key: run.Key,
		Runs: runs, Echo: hex.EncodeToString(digest[:]),
	}
	if faults.crossAttemptID {
		answer.AttemptID = uuid.NewString()
	}
	writeAnswer(writer, answer, faults)
}

// startRun records the run and consumes the faults that apply to it. If accepted
// is false, the call is refused and nothing runs.
func (service *Service) startRun(run Run) (runs int, taken runFaults, accepted bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	full := service.capacity > unlimited && service.activeRuns >= service.capacity
	if full || consume(&service.faults.FailBefore) {
		return 0, runFaults{}, false
	}
	service.activeRuns++
	return service.runs.add(run), service.faults.takeForRun(), true
}

// simulateRun waits for the duration of a run. The run stays recorded if its
// client disconnects meanwhile.
func (service *Service) simulateRun(request *http.Request, path string, faults runFaults) {
	service.host.Sleep(request.Context(), service.pathLatency(path)+faults.addedLatency)
	service.mu.Lock()
	stall := time.Until(service.stalledUntil)
	service.mu.Unlock()
	service.host.Sleep(request.Context(), stall)
	service.mu.Lock()
	service.activeRuns--
	service.mu.Unlock()
}

// currentAnnouncement returns the limit, the leaving notice and the backoff that
// the service announces in its response headers.
func (service *Service) currentAnnouncement() host.Announcement {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.faults.Announcement
}

func writeRefusal(writer http.ResponseWriter, attemptID string, announcement host.Announcement) {
	header := writer.Header()
	header.Set(HeaderNotRun, "1")
	announcement.SetRetryAfter(header)
	if attemptID != "" {
		header.Set(HeaderAttemptID, attemptID)
	}
	host.WriteError(writer, http.StatusServiceUnavailable, "notRun", "refused without running")
}

// writeAnswer writes the answer. If the body is to be cut, it writes the first
// bytes and closes the connection.
func writeAnswer(writer http.ResponseWriter, answer Answer, faults runFaults) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		host.WriteError(writer, http.StatusInternalServerError, "encoding", err.Error())
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	if answer.AttemptID != "" {
		header.Set(HeaderAttemptID, answer.AttemptID)
	}
	if !faults.cutBody {
		_, _ = writer.Write(encoded)
		return
	}
	_, _ = writer.Write(encoded[:min(faults.cutAfterBytes, len(encoded))])
	_ = http.NewResponseController(writer).Flush()
	host.CloseConnection(writer)
}
