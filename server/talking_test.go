package server_test

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/standin/measurer"
)

const (
	// limitWindow, limitFactor and limitSlack make the users' bound on the requests that
	// reach an upstream with a limit; it holds from limitSettles after it was first named.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitSettles = 3 * time.Second
	// limitSpan is how long callers ask, askEvery the time between two requests of each.
	limitSpan = 9 * time.Second
	askEvery  = 100 * time.Millisecond
	// limitUsed is the part of a limit that is used at least where more is asked for.
	limitUsed = 0.6
)

// talkingService is a service that says in its answers how it wants to be asked.
type talkingService struct {
	// mutex guards the backoff; no other lock is taken under it.
	mutex sync.Mutex
	// header is what it says, and refuses whether it turns requests away.
	header   http.Header
	refuses  bool
	arrivals []time.Time
}

// say sets what the service says from now on.
func (talkingService *talkingService) say(refuses bool, name, value string) {
	talkingService.mutex.Lock()
	defer talkingService.mutex.Unlock()
	talkingService.refuses, talkingService.header = refuses, http.Header{name: {value}}
}

// arrive notes a request and returns what is said of it.
func (talkingService *talkingService) arrive() (header http.Header, refuses bool) {
	talkingService.mutex.Lock()
	defer talkingService.mutex.Unlock()
	talkingService.arrivals = append(talkingService.arrivals, time.Now())
	return talkingService.header, talkingService.refuses
}

// ServeHTTP answers at once.
func (talkingService *talkingService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header, refuses := talkingService.arrive()
	maps.Copy(writer.Header(), header)
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if refuses {
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "served") // A caller that has left needs no answer.
}

// since counts the requests from the time on, and the most of them in a window.
func (talkingService *talkingService) since(from time.Time) (all, most int) {
	talkingService.mutex.Lock()
	defer talkingService.mutex.Unlock()
	var counted []time.Time
	for _, at := range talkingService.arrivals {
		if at.After(from) {
			counted = append(counted, at)
		}
	}
	return len(counted), measurer.Busiest(counted, limitWindow)
}

// startTalkingServices starts so many services and a system of two nodes that sends what is for
// the stock to them.
func startTalkingServices(t *testing.T, count int, protected bool) (*system, []*talkingService) {
	t.Helper()
	var services []*talkingService
	var addresses []string
	for range count {
		service := &talkingService{}
		server := httptest.NewServer(service)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		services, addresses = append(services, service), append(addresses, server.Listener.Addr().String())
	}
	return start(t, plan{nodes: 2, change: func(document *definer.Document) {
		document.Classes[0].LongestWaitMs, document.Classes[0].TotalMs, document.Classes[0].Protected = 300, 300, protected
		stock := &document.Pools[1]
		stock.Upstreams = nil
		for index, address := range addresses {
			stock.Upstreams = append(stock.Upstreams, definer.UpstreamDocument{Name: fmt.Sprintf("stock-%d", index), DataCentre: dataCentre, Address: address, Slots: 8})
		}
	}}), services
}

// askFor has callers ask at both nodes, and returns how many requests ended with each status.
func (system *system) askFor(span time.Duration) map[int]int {
	const callers = 8
	statuses := make([]map[int]int, callers)
	until := time.Now().Add(span)
	var group conc.WaitGroup
	for number := range callers {
		statuses[number] = make(map[int]int)
		group.Go(func() {
			for time.Now().Before(until) {
				request := system.request("/services/stock/items", `{"item":"zip"}`, "X-Repeat", string(definer.Idempotent))
				request.URL.Host = system.callers[number%len(system.callers)]
				statuses[number][system.do(request).Status]++
				<-time.After(askEvery)
			}
		})
	}
	group.Wait()
	all := make(map[int]int)
	for _, each := range statuses {
		for status, count := range each {
			all[status] += count
		}
	}
	return all
}

// TestLimitOfServicesIsKept has services name how many requests a second they take from all
// nodes together, one of three and all of them. On the product's own interface, too, the
// header was read by nothing: 80 requests a second went to what was free.
func TestLimitOfServicesIsKept(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits []float64
	}{{"one", []float64{3, 0, 0}}, {"all", []float64{0.5, 3, 8}}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system, services := startTalkingServices(t, len(test.limits), false)
			for index, perSecond := range test.limits {
				if perSecond > 0 {
					services[index].say(false, "Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
				}
			}
			from := time.Now().Add(limitSettles)
			statuses := system.askFor(limitSpan)
			t.Logf("answers by status: %v", statuses)
			for index, service := range services {
				all, most := service.since(from)
				t.Logf("limit %v: %d requests, at most %d in %v", test.limits[index], all, most, limitWindow)
				if test.limits[index] == 0 {
					continue
				}
				allowed := int(math.Floor(limitFactor*test.limits[index]*limitWindow.Seconds())) + limitSlack
				assert.Check(t, most <= allowed, "stock-%d got %d requests in %v; allowed are %d", index, most, limitWindow, allowed)
				wanted := math.Floor(limitUsed * test.limits[index] * (limitSpan - limitSettles).Seconds())
				assert.Check(t, float64(all) >= wanted, "stock-%d got %d requests; it takes %.0f", index, all, wanted)
			}
			if test.name == "one" {
				assert.Equal(t, len(statuses), 1, "all could be served: %v", statuses)
			}
			for status := range statuses {
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%v", statuses)
			}
		})
	}
}

// TestServicesThatLeaveAreLeftAlone has a service say in its answers that it leaves. On the
// product's own interface that was known of refusals alone.
func TestServicesThatLeaveAreLeftAlone(t *testing.T) {
	t.Parallel()
	system, services := startTalkingServices(t, 3, false)
	system.askFor(time.Second)
	services[0].say(false, "Server-Leaving", "1")
	from := time.Now().Add(2 * time.Second)
	statuses := system.askFor(4 * time.Second)
	late, _ := services[0].since(from)
	assert.Equal(t, late, 0)
	assert.Equal(t, statuses[http.StatusOK] > 0 && len(statuses) == 1, true, "%v", statuses)
}

// TestServicesAreNotAskedWithinTheirRetryAfter has services turn requests away and ask for a backoff, one of three
// and all, and then take requests again. The time that they named was told to callers and
// heeded by nobody.
func TestServicesAreNotAskedWithinTheirRetryAfter(t *testing.T) {
	const backoff = 2500 * time.Millisecond
	for _, test := range []struct {
		name      string
		busy      int
		protected bool
	}{{"one", 1, false}, {"all", 3, false}, {"one, protected calls", 1, true}, {"all, protected calls", 3, true}} {
		busy := test.busy
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system, services := startTalkingServices(t, 3, test.protected)
			system.askFor(time.Second)
			for _, service := range services[:busy] {
				service.say(true, "Retry-After", "2.5")
			}
			began := time.Now()
			system.askFor(2 * backoff)
			for index, service := range services[:busy] {
				all, _ := service.since(began.Add(500 * time.Millisecond))
				// Each of two nodes may ask twice in each backoff.
				assert.Check(t, all <= 2*2*2, "stock-%d got %d requests in two backoffs", index, all)
				service.say(false, "X-Nothing", "1")
			}
			system.askFor(backoff)
			from := time.Now()
			statuses := system.askFor(time.Second)
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			for index, service := range services {
				all, _ := service.since(from)
				assert.Check(t, all > 0, "stock-%d is not used any more", index)
			}
		})
	}
}
