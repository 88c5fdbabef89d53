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
	// An upstream with a rate limit may receive at most limitFactor*limit*limitWindow+limitSlack
	// requests in any limitWindow, starting limitSettleTime after it first announces the limit.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 3 * time.Second
	// limitTestDuration is how long callers send requests, requestInterval the time that each
	// caller waits between two requests.
	limitTestDuration = 9 * time.Second
	requestInterval   = 100 * time.Millisecond
	// minLimitUse is the minimum share of a limit that is used while demand exceeds the limit.
	minLimitUse = 0.6
)

// announcingService is a service that announces a rate limit, a backoff or its shutdown in the
// headers of its responses.
type announcingService struct {
	// mutex guards the fields below; no other lock is taken under it.
	mutex sync.Mutex
	// header is added to each response; refuses reports whether requests are refused.
	header   http.Header
	refuses  bool
	arrivals []time.Time
}

// announce sets the header of later responses and whether later requests are refused.
func (announcingService *announcingService) announce(refuses bool, name, value string) {
	announcingService.mutex.Lock()
	defer announcingService.mutex.Unlock()
	announcingService.refuses, announcingService.header = refuses, http.Header{name: {value}}
}

// record records the arrival of a request and returns the settings for its response.
func (announcingService *announcingService) record() (header http.Header, refuses bool) {
	announcingService.mutex.Lock()
	defer announcingService.mutex.Unlock()
	announcingService.arrivals = append(announcingService.arrivals, time.Now())
	return announcingService.header, announcingService.refuses
}

// ServeHTTP responds without delay.
func (announcingService *announcingService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header, refuses := announcingService.record()
	maps.Copy(writer.Header(), header)
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if refuses {
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "served") // A write to a disconnected caller may fail.
}

// countSince returns the number of requests after the given time, and the highest number of them in
// any limitWindow.
func (announcingService *announcingService) countSince(from time.Time) (total, peak int) {
	announcingService.mutex.Lock()
	defer announcingService.mutex.Unlock()
	var counted []time.Time
	for _, at := range announcingService.arrivals {
		if at.After(from) {
			counted = append(counted, at)
		}
	}
	return len(counted), measurer.MaxInWindow(counted, limitWindow)
}

// startAnnouncingServices starts count services and a system of two nodes in which these services
// are the upstreams of the pool stock.
func startAnnouncingServices(t *testing.T, count int, protected bool) (*system, []*announcingService) {
	t.Helper()
	var services []*announcingService
	var addresses []string
	for range count {
		service := &announcingService{}
		server := httptest.NewServer(service)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		services, addresses = append(services, service), append(addresses, server.Listener.Addr().String())
	}
	return start(t, setup{nodes: 2, configure: func(document *definer.Document) {
		document.Classes[0].LongestWaitMs, document.Classes[0].TotalMs, document.Classes[0].Protected = 300, 300, protected
		stock := &document.Pools[1]
		stock.Upstreams = nil
		for index, address := range addresses {
			stock.Upstreams = append(stock.Upstreams, definer.UpstreamDocument{Name: fmt.Sprintf("stock-%d", index), DataCentre: dataCentre, Address: address, Slots: 8})
		}
	}}), services
}

// sendFor sends requests from concurrent callers to the nodes for a duration. It returns the number
// of responses by status.
func (system *system) sendFor(duration time.Duration) map[int]int {
	const callers = 8
	statuses := make([]map[int]int, callers)
	until := time.Now().Add(duration)
	var group conc.WaitGroup
	for number := range callers {
		statuses[number] = make(map[int]int)
		group.Go(func() {
			for time.Now().Before(until) {
				request := system.request("/services/stock/items", `{"item":"zip"}`, "X-Repeat", string(definer.Idempotent))
				request.URL.Host = system.callerAddresses[number%len(system.callerAddresses)]
				statuses[number][system.do(request).Status]++
				<-time.After(requestInterval)
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

// TestLimitOfServicesIsKept checks that two nodes together keep the rate limit that one of three
// services or all of them announce with Server-Limit. It guards against nodes that ignore the
// header and send every request, 80 per second, to the services with free slots.
func TestLimitOfServicesIsKept(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits []float64
	}{{"one", []float64{3, 0, 0}}, {"all", []float64{0.5, 3, 8}}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system, services := startAnnouncingServices(t, len(test.limits), false)
			for index, perSecond := range test.limits {
				if perSecond > 0 {
					services[index].announce(false, "Server-Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
				}
			}
			from := time.Now().Add(limitSettleTime)
			statuses := system.sendFor(limitTestDuration)
			t.Logf("answers by status: %v", statuses)
			for index, service := range services {
				total, peak := service.countSince(from)
				t.Logf("limit %v: %d requests, at most %d in %v", test.limits[index], total, peak, limitWindow)
				if test.limits[index] == 0 {
					continue
				}
				allowed := int(math.Floor(limitFactor*test.limits[index]*limitWindow.Seconds())) + limitSlack
				assert.Check(t, peak <= allowed, "stock-%d received %d requests in %v; the limit allows %d", index, peak, limitWindow, allowed)
				wanted := math.Floor(minLimitUse * test.limits[index] * (limitTestDuration - limitSettleTime).Seconds())
				assert.Check(t, float64(total) >= wanted, "stock-%d received %d requests; expected at least %.0f", index, total, wanted)
			}
			if test.name == "one" {
				assert.Equal(t, len(statuses), 1, "every request could be served: %v", statuses)
			}
			for status := range statuses {
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%v", statuses)
			}
		})
	}
}

// TestServicesThatLeaveAreLeftAlone checks that a service receives no more requests from 2 s after
// it has announced with Server-Leaving that it shuts down. It guards against nodes that read the
// header only in refusals.
func TestServicesThatLeaveAreLeftAlone(t *testing.T) {
	t.Parallel()
	system, services := startAnnouncingServices(t, 3, false)
	system.sendFor(time.Second)
	services[0].announce(false, "Server-Leaving", "1")
	from := time.Now().Add(2 * time.Second)
	statuses := system.sendFor(4 * time.Second)
	late, _ := services[0].countSince(from)
	assert.Equal(t, late, 0)
	assert.Equal(t, statuses[http.StatusOK] > 0 && len(statuses) == 1, true, "%v", statuses)
}

// TestServicesAreNotAskedWithinTheirRetryAfter checks that nodes keep the backoff that one of three
// services or all of them request with Retry-After, and use the services again afterwards. It
// guards against nodes that pass Retry-After on to callers without keeping the backoff themselves.
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
			system, services := startAnnouncingServices(t, 3, test.protected)
			system.sendFor(time.Second)
			for _, service := range services[:busy] {
				service.announce(true, "Retry-After", "2.5")
			}
			began := time.Now()
			system.sendFor(2 * backoff)
			for index, service := range services[:busy] {
				total, _ := service.countSince(began.Add(500 * time.Millisecond))
				// Each of two nodes may send two requests in each of two backoffs.
				assert.Check(t, total <= 2*2*2, "stock-%d received %d requests in two backoffs", index, total)
				service.announce(false, "X-Nothing", "1")
			}
			system.sendFor(backoff)
			from := time.Now()
			statuses := system.sendFor(time.Second)
			assert.Equal(t, len(statuses), 1, "%v", statuses)
			for index, service := range services {
				total, _ := service.countSince(from)
				assert.Check(t, total > 0, "stock-%d receives no requests after its backoff", index)
			}
		})
	}
}
