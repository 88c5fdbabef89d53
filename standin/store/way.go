package store

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Way is the path of one node to the store, with its faults. It is an HTTP handler and safe for concurrent use.
type Way struct {
	store http.Handler

	// mutex guards the fields below.
	mutex sync.Mutex
	// fault is what happens to calls; lost is closed when the calls that are open get no answer any more.
	fault WayFault
	lost  chan struct{}
	// disturbedAt is when a fault last began or ended.
	disturbedAt time.Time
}

// WayFault is a fault of a way to the store.
type WayFault string

const (
	// WaySound is normal operation.
	WaySound WayFault = "sound"
	// WaySilent answers no call and executes none.
	WaySilent WayFault = "silent"
	// WayRejected answers each call with 503.
	WayRejected WayFault = "rejected"
	// WayWatchesHang answers no watch.
	WayWatchesHang WayFault = "watchesHang"
	// WayAnswersLost loses the answers to the calls that are open when it begins.
	WayAnswersLost WayFault = "answersLost"
)

// NewWay returns a sound way to the store.
func NewWay(store *Store) *Way {
	return &Way{store: store.Handler(), fault: WaySound, lost: make(chan struct{})}
}

// ServeHTTP executes a call and answers it, as far as the fault lets it.
func (way *Way) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	way.mutex.Lock()
	fault, lost := way.fault, way.lost
	way.mutex.Unlock()
	switch {
	case fault == WaySilent, fault == WayWatchesHang && request.URL.Query().Has("watch"):
		<-request.Context().Done()
		return
	case fault == WayRejected:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	way.store.ServeHTTP(answer, request)
	select {
	case <-lost:
		<-request.Context().Done()
		return
	default:
	}
	copyResponse(writer, answer)
}

// DrawFault begins a drawn fault, and ends it after a drawn time. It returns a description.
func (way *Way) DrawFault(random *rand.Rand) string {
	fault := []WayFault{WaySilent, WayRejected, WayWatchesHang, WayAnswersLost}[random.IntN(4)]
	lasts := time.Duration(500+random.IntN(5000)) * time.Millisecond
	if fault == WayAnswersLost {
		lasts = 0
	}
	way.SetFault(fault)
	time.AfterFunc(lasts, func() { way.SetFault(WaySound) })
	return fmt.Sprintf("%s for %v", fault, lasts)
}

// SetFault sets the fault. Calls that are open get no answer if it is one.
func (way *Way) SetFault(fault WayFault) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	if fault != WaySound {
		close(way.lost)
		way.lost = make(chan struct{})
	}
	way.fault, way.disturbedAt = fault, time.Now()
}

// CalmSince returns since when the way has been without a fault; false while there is one.
func (way *Way) CalmSince() (time.Time, bool) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	return way.disturbedAt, way.fault == WaySound
}
