// Package office is a stand-in for the address where the users' platform takes calls that
// are one node's at a time: reports of usage and orders of engines. It checks fencing
// tokens when a call is carried out, which may be seconds after it came.
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

// Order is an order of engines.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Count   int    `json:"desired_count"`
	Spot    bool   `json:"spot"`
}

// act is a call that was carried out.
type act struct {
	holder string
	token  uint64
	at     time.Time
}

// Report is the usage of one window as it was accepted first.
type Report struct {
	Window uint64
	Counts map[string]uint64
	At     time.Time
	Holder string
}

// Office is the stand-in. It is safe for concurrent use.
type Office struct {
	lease time.Duration
	// ordered is told of each order that is carried out, and says whether there are any to
	// be had.
	ordered func(order Order) bool

	// mutex guards the rest; no other lock is taken under it.
	mutex   sync.Mutex
	highest map[string]uint64
	acts    map[string][]act
	reports []Report
	// breaches tells what no two nodes may do.
	breaches []string
	refusal  int
	// late is how much later the next calls are carried out, without an answer.
	late  time.Duration
	calls int
}

// New returns a stand-in that knows a lease of the length; ordered is told of each order
// and says whether there are such engines.
func New(lease time.Duration, ordered func(order Order) bool) *Office {
	return &Office{lease: lease, ordered: ordered, highest: make(map[string]uint64), acts: make(map[string][]act)}
}

// Refuse answers each call with the status until it is called with 0.
func (office *Office) Refuse(status int) {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	office.refusal = status
}

// Delay has calls from now on get no answer and be carried out so much later; 0 ends that.
func (office *Office) Delay(late time.Duration) {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	office.late = late
}

// Reports returns the usage that was accepted, in the order in which it was.
func (office *Office) Reports() []Report {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	return append([]Report(nil), office.reports...)
}

// Breaches returns what was done that no two nodes may do.
func (office *Office) Breaches() []string {
	office.mutex.Lock()
	defer office.mutex.Unlock()
	return append([]string(nil), office.breaches...)
}

// Handler returns the interface.
func (office *Office) Handler() http.Handler {
	routes := httprouter.New()
	routes.POST("/usage", office.taken(office.tell))
	routes.POST("/scale", office.taken(office.order))
	return routes
}

// call is one call as it came.
type call struct {
	holder string
	token  uint64
	body   []byte
}

// taken reads a call and has it carried out, now or later.
func (office *Office) taken(carryOut func(call *call) int) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		token, err := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
		holder := request.Header.Get("X-Duty-Holder")
		body := make([]byte, request.ContentLength)
		if _, readErr := readFull(request, body); err != nil || readErr != nil || holder == "" {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		taken := &call{holder, token, body}
		office.mutex.Lock()
		office.calls++
		refusal, late := office.refusal, office.late
		office.mutex.Unlock()
		switch {
		case refusal != 0:
			writer.WriteHeader(refusal)
		case late > 0:
			time.AfterFunc(late, func() { carryOut(taken) })
			<-request.Context().Done()
		default:
			writer.WriteHeader(carryOut(taken))
		}
	}
}

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

func (office *Office) tell(call *call) int {
	var report struct {
		Window uint64            `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	if err := json.Unmarshal(call.body, &report); err != nil {
		return http.StatusBadRequest
	}
	office.mutex.Lock()
	defer office.mutex.Unlock()
	if !office.fence("usage", call) {
		return http.StatusConflict
	}
	for index := range office.reports {
		if office.reports[index].Window != report.Window {
			continue
		}
		if !maps.Equal(office.reports[index].Counts, report.Counts) {
			office.breach("window %d is told as %v by %s and as %v by %s", report.Window, office.reports[index].Counts, office.reports[index].Holder, report.Counts, call.holder)
		}
		return http.StatusOK
	}
	office.reports = append(office.reports, Report{report.Window, report.Counts, time.Now(), call.holder})
	return http.StatusOK
}

func (office *Office) order(call *call) int {
	var order Order
	if err := json.Unmarshal(call.body, &order); err != nil {
		return http.StatusBadRequest
	}
	office.mutex.Lock()
	fenced := office.fence(order.Service+" in "+order.Zone, call)
	office.mutex.Unlock()
	if !fenced || !office.ordered(order) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// fence checks the token of a call, and that no two holders act as one; mutex is held.
func (office *Office) fence(subject string, call *call) bool {
	if call.token < office.highest[subject] {
		return false
	}
	office.highest[subject] = call.token
	acts := office.acts[subject]
	between := false
	for index := len(acts) - 1; index >= 0; index-- {
		earlier := acts[index]
		if earlier.token == call.token && earlier.holder != call.holder {
			office.breach("%s and %s both act on %s with token %d", earlier.holder, call.holder, subject, call.token)
		}
		if time.Since(earlier.at) >= office.lease {
			continue
		}
		if earlier.holder == call.holder && between {
			office.breach("%s acts on %s again within %v, another in between", call.holder, subject, time.Since(earlier.at))
		}
		between = between || earlier.holder != call.holder
	}
	office.acts[subject] = append(acts, act{call.holder, call.token, time.Now()})
	return true
}

// breach notes what no two nodes may do; mutex is held.
func (office *Office) breach(format string, values ...any) {
	office.breaches = append(office.breaches, fmt.Sprintf(format, values...))
}
