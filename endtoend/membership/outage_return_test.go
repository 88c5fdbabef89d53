package membership_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
)

const healthPath = "/healthz"

// withHealth returns an upstream's handler that states under the health path that it is healthy, until it has left.
func withHealth(name string, left *atomic.Bool, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != healthPath {
			serve(writer, request)
			return
		}
		writer.Header().Set("X-Runner-Id", name)
		if left.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

// TestOutageDoesNotExcuseAReturn guards against requests that reach an upstream after it left, because its heartbeat, which
// the store executes late, is taken for the return of an entry that lapsed in an outage; and against a living upstream
// whose entry did lapse in it that gets none.
func TestOutageDoesNotExcuseAReturn(t *testing.T) {
	const lasts, late = 4500 * time.Millisecond, 5800 * time.Millisecond
	outages := map[string]func(fleet *tester.Fleet, link *store.Link){
		"silent": func(_ *tester.Fleet, link *store.Link) { link.BeSilent(lasts) },
		"rejected": func(fleet *tester.Fleet, _ *store.Link) {
			fleet.Store.SetErrorStatus(http.StatusServiceUnavailable)
			time.AfterFunc(lasts, func() { fleet.Store.SetErrorStatus(0) })
		},
	}
	for name, begin := range outages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			link := store.NewLink(0)
			fleet := tester.NewFleetWithLink(t, link)
			fleet.DutyBoundSettings = leavingBounds
			fleet.ServiceFields = map[string]any{"health_path": healthPath}
			departure := newDepartureOf(fleet, func(recorder *bookingRecorder, left *atomic.Bool) map[string]http.HandlerFunc {
				return map[string]http.HandlerFunc{
					"u1": withHealth("u1", left, recorder.serve("u1")),
					"u2": withHealth("u2", new(atomic.Bool), recorder.serve("u2")),
				}
			}, tester.West, tester.West, tester.East, tester.East)
			<-time.After(3 * time.Second)
			departure.remove()
			<-time.After(100 * time.Millisecond)
			begin(fleet, link)
			<-time.After(3 * time.Second)
			fleet.Store.Remove("servers", "u2")
			<-time.After(lasts - 3*time.Second)
			departure.leftAt = time.Now() // The bound counts from the end of the outage.
			<-time.After(time.Second)
			departure.list("u2")
			<-time.After(late - lasts - time.Second)
			departure.list("u1")
			<-time.After(tester.LeavingTimeout)
			departure.check()
		})
	}
}
