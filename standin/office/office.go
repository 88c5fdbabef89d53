// Package office is a stand-in for the platform endpoint that accepts usage reports and scaling
// orders from one lease holder at a time. It checks the fencing token when a request is executed,
// which may be seconds after the request was received.
package office

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Order is a scaling request: the desired number of engines of a service in a zone.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Count   int    `json:"desired_count"`
	Spot    bool   `json:"spot"`
}

// operation is an executed request.
type operation struct {
	holder string
	token  uint64
	at     time.Time
}

// Report is the first accepted usage report of one window.
type Report struct {
	Window uint64
	Counts map[string]uint64
	At     time.Time
	Holder string
}

// Office accepts requests that carry fencing tokens and records violations of mutual exclusion. It
// is safe for concurrent use.
type Office struct {
	lease time.Duration
	// placeOrder is called for each order that passes the token check and reports whether the
	// engines are available.
	placeOrder func(order Order) bool

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// highestTokens and operations are keyed by the subject that a lease protects.
	highestTokens map[string]uint64
	operations    map[string][]operation
	reports       []Report
	// violations describes each violation of mutual exclusion between nodes.
	violations  []string
	errorStatus int
	// delay postpones the execution of requests; a delayed request gets no response.
	delay time.Duration
	calls int
}

// New returns an Office for leases of the given duration. placeOrder is called for each order that
// passes the token check and reports whether the engines are available.
func New(lease time.Duration, placeOrder func(order Order) bool) *Office {
	return &Office{lease: lease, placeOrder: placeOrder, highestTokens: make(map[string]uint64), operations: make(map[string][]operation)}
}

// SetErrorStatus makes every request fail with the HTTP status. A status of 0 ends this.
func (office *Office) SetErrorStatus(status int) {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	office.errorStatus = status
}

// SetDelay makes subsequent requests get no response and be executed after the delay. A delay of 0
// ends this.
func (office *Office) SetDelay(delay time.Duration) {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	office.delay = delay
}

// Reports returns the accepted usage reports in order of acceptance.
func (office *Office) Reports() []Report {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	return append([]Report(nil), office.reports...)
}

// Violations returns a description of each violation of mutual exclusion between nodes.
func (office *Office) Violations() []string {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	return append([]string(nil), office.violations...)
}

// Handler returns the HTTP API.
func (office *Office) Handler() http.Handler {
	routes := httprouter.New()
	routes.POST("/usage", office.handle(office.acceptUsage))
	routes.POST("/scale", office.handle(office.acceptOrder))
	return routes
}

// fencedRequest is a received request with the holder and the fencing token from its headers.
type fencedRequest struct {
	holder string
	token  uint64
	body   []byte
}

// handle reads a request and executes it, immediately or after the configured delay. execute
// returns the HTTP status.
func (office *Office) handle(execute func(request *fencedRequest) int) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		token, err := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
		holder := request.Header.Get("X-Duty-Holder")
		body := make([]byte, request.ContentLength)
		if _, readErr := readFull(request, body); err != nil || readErr != nil || holder == "" {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		fenced := &fencedRequest{holder, token, body}
		office.mutex.Lock()
		office.calls++
		errorStatus, delay := office.errorStatus, office.delay
		office.mutex.Unlock()
		switch {
		case errorStatus != 0:
			writer.WriteHeader(errorStatus)
		case delay > 0:
			time.AfterFunc(delay, func() { execute(fenced) })
			<-request.Context().Done()
		default:
			writer.WriteHeader(execute(fenced))
		}
	}
}

// readFull reads the request body until the buffer is full and returns the number of bytes read.
func readFull(request *http.Request, body []byte) (int, error) {
	read := 0
	for read < len(body) {
		count, err := request.Body.Read(body[read:])
		read += count
		if err != nil && read < len(body) {
			return read, err
		}
	}
	return read, nil
}

// acceptUsage records a usage report. A repeated report of a window is idempotent; different counts
// for the same window are a violation.
func (office *Office) acceptUsage(request *fencedRequest) int {
	var report struct {
		Window uint64            `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	if err := json.Unmarshal(request.body, &report); err != nil {
		return http.StatusBadRequest
	}
	office.mutex.Lock()
	defer office.mutex.Unlock()
	if !office.acceptToken("usage", request) {
		return http.StatusConflict
	}
	for index := range office.reports {
		if office.reports[index].Window != report.Window {
			continue
		}
		if !maps.Equal(office.reports[index].Counts, report.Counts) {
			office.recordViolation("window %d is reported as %v by %s and as %v by %s", report.Window, office.reports[index].Counts, office.reports[index].Holder, report.Counts, request.holder)
		}
		return http.StatusOK
	}
	office.reports = append(office.reports, Report{report.Window, report.Counts, time.Now(), request.holder})
	return http.StatusOK
}

// acceptOrder places a scaling order. It returns 409 if the token is out of date or the engines are
// not available.
func (office *Office) acceptOrder(request *fencedRequest) int {
	var order Order
	if err := json.Unmarshal(request.body, &order); err != nil {
		return http.StatusBadRequest
	}
	office.mutex.Lock()
	accepted := office.acceptToken(order.Service+" in "+order.Zone, request)
	office.mutex.Unlock()
	if !accepted || !office.placeOrder(order) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// acceptToken reports whether the request's fencing token is at least the highest one accepted for
// the subject, and records the operation if so. It records a violation if two holders use the same
// token, or if a holder acts again within one lease although another holder acted in between. The
// caller holds mutex.
func (office *Office) acceptToken(subject string, request *fencedRequest) bool {
	if request.token < office.highestTokens[subject] {
		return false
	}
	office.highestTokens[subject] = request.token
	operations := office.operations[subject]
	otherBetween := false
	for index := len(operations) - 1; index >= 0; index-- {
		earlier := operations[index]
		if earlier.token == request.token && earlier.holder != request.holder {
			office.recordViolation("%s and %s both act on %s with token %d", earlier.holder, request.holder, subject, request.token)
		}
		if time.Since(earlier.at) >= office.lease {
			continue
		}
		if earlier.holder == request.holder && otherBetween {
			office.recordViolation("%s acts on %s again within %v although another holder acted in between", request.holder, subject, time.Since(earlier.at))
		}
		otherBetween = otherBetween || earlier.holder != request.holder
	}
	office.operations[subject] = append(operations, operation{request.holder, request.token, time.Now()})
	return true
}

// recordViolation records a violation of mutual exclusion. The caller holds mutex.
func (office *Office) recordViolation(format string, values ...any) {
	office.violations = append(office.violations, fmt.Sprintf(format, values...))
}
