package server_test

import (
	"fmt"
	"io"
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

// limitedService is a service that names a limit in its answers, none with 0.
type limitedService struct {
	perSecond float64
	// mutex guards arrivals; no other lock is taken under it.
	mutex    sync.Mutex
	arrivals []time.Time
}

// ServeHTTP answers at once.
func (limitedService *limitedService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	limitedService.mutex.Lock()
	limitedService.arrivals = append(limitedService.arrivals, time.Now())
	limitedService.mutex.Unlock()
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if limitedService.perSecond > 0 {
		writer.Header().Set("Server-Limit", strconv.FormatFloat(limitedService.perSecond, 'f', -1, 64))
	}
	_, _ = io.WriteString(writer, "served") // A caller that has left needs no answer.
}

// since counts the requests from the time on, and the most of them in a window.
func (limitedService *limitedService) since(from time.Time) (all, most int) {
	limitedService.mutex.Lock()
	defer limitedService.mutex.Unlock()
	var counted []time.Time
	for _, at := range limitedService.arrivals {
		if at.After(from) {
			counted = append(counted, at)
		}
	}
	first := 0
	for last := range counted {
		for counted[last].Sub(counted[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return len(counted), most
}

// startLimitedServices starts services with the limits and a system of two nodes that sends
// what is for the stock to them.
func startLimitedServices(t *testing.T, perSecond ...float64) (*system, []*limitedService) {
	t.Helper()
	var services []*limitedService
	var addresses []string
	for _, limit := range perSecond {
		service := &limitedService{perSecond: limit}
		server := httptest.NewServer(service)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		services, addresses = append(services, service), append(addresses, server.Listener.Addr().String())
	}
	return start(t, plan{nodes: 2, change: func(document *definer.Document) {
		document.Classes[0].LongestWaitMs, document.Classes[0].TotalMs = 300, 300
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
			system, services := startLimitedServices(t, test.limits...)
			from := time.Now().Add(limitSettles)
			statuses := system.askFor(limitSpan)
			t.Logf("answers by status: %v", statuses)
			for index, service := range services {
				all, most := service.since(from)
				t.Logf("limit %v: %d requests, at most %d in %v", service.perSecond, all, most, limitWindow)
				if service.perSecond == 0 {
					continue
				}
				allowed := int(math.Floor(limitFactor*service.perSecond*limitWindow.Seconds())) + limitSlack
				assert.Check(t, most <= allowed, "stock-%d got %d requests in %v; allowed are %d", index, most, limitWindow, allowed)
				wanted := math.Floor(limitUsed * service.perSecond * (limitSpan - limitSettles).Seconds())
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
