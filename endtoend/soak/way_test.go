package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"limpetcleat/standin/store"
)

// way is the path of one node to the store, with its faults.
type way struct {
	server *httptest.Server

	// mutex guards the fields below.
	mutex sync.Mutex
	// fault is what happens to calls; lost is closed when the calls that are open get no answer any more.
	fault wayFault
	lost  chan struct{}
	// disturbedAt is when a fault last began or ended.
	disturbedAt time.Time
}

// wayFault is a fault of a way to the store.
type wayFault string

const (
	sound       wayFault = "sound"
	silent      wayFault = "silent"
	rejected    wayFault = "rejected"
	watchesHang wayFault = "watchesHang"
	answersLost wayFault = "answersLost"
)

func newWay(t *testing.T, store *store.Store) *way {
	way := &way{fault: sound, lost: make(chan struct{})}
	handler := store.Handler()
	way.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { way.pass(handler, writer, request) }))
	t.Cleanup(func() {
		way.server.CloseClientConnections()
		way.server.Close()
	})
	return way
}

// pass executes a call and answers it, as far as the fault lets it.
func (way *way) pass(handler http.Handler, writer http.ResponseWriter, request *http.Request) {
	way.mutex.Lock()
	fault, lost := way.fault, way.lost
	way.mutex.Unlock()
	switch {
	case fault == silent, fault == watchesHang && request.URL.Query().Has("watch"):
		<-request.Context().Done()
		return
	case fault == rejected:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	select {
	case <-lost:
		<-request.Context().Done()
		return
	default:
	}
	for name, values := range answer.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.Code)
	_, _ = writer.Write(answer.Body.Bytes()) // The error means that the node has disconnected.
}

// begin begins a fault, and ends it after the time. It returns a line for the log.
func (way *way) begin(random *rand.Rand) string {
	fault := []wayFault{silent, rejected, watchesHang, answersLost}[random.IntN(4)]
	lasts := time.Duration(500+random.IntN(5000)) * time.Millisecond
	if fault == answersLost {
		lasts = 0
	}
	way.set(fault)
	time.AfterFunc(lasts, func() { way.set(sound) })
	return fmt.Sprintf("%s for %v", fault, lasts)
}

// set sets the fault. Calls that are open get no answer if it is one.
func (way *way) set(fault wayFault) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	if fault != sound {
		close(way.lost)
		way.lost = make(chan struct{})
	}
	way.fault, way.disturbedAt = fault, time.Now()
}

// calmSince returns since when the way has been without a fault; false while there is one.
func (way *way) calmSince() (time.Time, bool) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	return way.disturbedAt, way.fault == sound
}
