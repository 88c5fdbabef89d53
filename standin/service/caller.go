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

// The headers of a call and its answer.
const (
	HeaderAttemptID = "X-Attempt-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderNotRun    = "X-Not-Run"
)

const maxBodyBytes = 8 << 20

// Answer is the body of every answer of the service.
type Answer struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	AttemptID string `json:"attemptId"`
	Key       string `json:"key"`
	// Runs counts the runs of the key so far, or of the attempt when there is no
	// key.
	Runs int `json:"runs"`
	// Echo is the SHA-256 of the request's body in hexadecimal.
	Echo string `json:"echo"`
}

func (service *Service) call(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writer.Header().Set(HeaderNotRun, "1")
		host.Fail(writer, http.StatusRequestEntityTooLarge, "invalidBody", err.Error())
		return
	}
	if service.dead(writer, request) {
		return
	}
	run := Run{
		AttemptID: request.Header.Get(HeaderAttemptID),
		Key:       request.Header.Get(HeaderKey),
		Method:    request.Method,
		Path:      request.URL.Path,
		AtMs:      time.Now().UnixMilli(),
	}
	runs, plan, accepted := service.begin(run)
	said := service.announcement()
	said.Write(writer.Header())
	if !accepted {
		refuse(writer, run.AttemptID, said)
		return
	}
	service.work(request, run.Path, plan)
	if plan.failAfter {
		host.Cut(writer)
		return
	}
	digest := sha256.Sum256(body)
	answer := Answer{
		Service: service.name, Path: run.Path, AttemptID: run.AttemptID, Key: run.Key,
		Runs: runs, Echo: hex.EncodeToString(digest[:]),
	}
	if plan.crossed {
		answer.AttemptID = uuid.NewString()
	}
	send(writer, answer, plan)
}

// begin records the run and takes its faults, unless the call is refused
// without running.
func (service *Service) begin(run Run) (runs int, ordered plan, accepted bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	full := service.capacity > unbounded && service.running >= service.capacity
	if full || take(&service.faults.FailBefore) {
		return 0, plan{}, false
	}
	service.running++
	return service.runs.add(run), service.faults.plan(), true
}

// work passes the time of a run. The run counts also when its client leaves
// meanwhile.
func (service *Service) work(request *http.Request, path string, plan plan) {
	service.host.Wait(request.Context(), service.latencyOf(path)+plan.slow)
	service.mu.Lock()
	stall := time.Until(service.stalledUntil)
	service.mu.Unlock()
	service.host.Wait(request.Context(), stall)
	service.mu.Lock()
	service.running--
	service.mu.Unlock()
}

// announcement returns how the service wants to be asked.
func (service *Service) announcement() host.Announcement {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.faults.Announcement
}

func refuse(writer http.ResponseWriter, attemptID string, said host.Announcement) {
	header := writer.Header()
	header.Set(HeaderNotRun, "1")
	said.WriteRetryAfter(header)
	if attemptID != "" {
		header.Set(HeaderAttemptID, attemptID)
	}
	host.Fail(writer, http.StatusServiceUnavailable, "notRun", "refused without running")
}

// send writes the answer, or its first bytes when it is to be cut.
func send(writer http.ResponseWriter, answer Answer, plan plan) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		host.Fail(writer, http.StatusInternalServerError, "encoding", err.Error())
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	if answer.AttemptID != "" {
		header.Set(HeaderAttemptID, answer.AttemptID)
	}
	if !plan.cut {
		_, _ = writer.Write(encoded)
		return
	}
	_, _ = writer.Write(encoded[:min(plan.cutAfter, len(encoded))])
	_ = http.NewResponseController(writer).Flush()
	host.Cut(writer)
}
