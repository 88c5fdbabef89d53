package server_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkWholePath measures the latency and allocations that a node adds to a call. It sends
// calls alternately through a node and directly to the stand-in engine. Allocations are counted for
// the whole process, so their difference is the node's share.
func BenchmarkWholePath(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("streamed=%t", stream), func(b *testing.B) {
			system := start(b, setup{slots: 64})
			body := chat("zips #len=8", stream)
			viaNode := func() *http.Request { return system.request("/v1/chat/completions", body) }
			direct := func() *http.Request {
				request := viaNode()
				request.URL.Host = system.engineAddresses[0]
				return request
			}
			for range 20 {
				timeRequest(b, viaNode())
				timeRequest(b, direct())
			}
			var node, engine []time.Duration
			nodeAllocations, engineAllocations := uint64(0), uint64(0)
			for b.Loop() {
				node = append(node, timeAndCount(b, viaNode, &nodeAllocations))
				engine = append(engine, timeAndCount(b, direct, &engineAllocations))
			}
			for _, share := range []float64{0.5, 0.99} {
				b.ReportMetric(milliseconds(quantile(node, share)-quantile(engine, share)), fmt.Sprintf("added-ms-p%.0f", 100*share))
				b.ReportMetric(milliseconds(quantile(engine, share)), fmt.Sprintf("direct-ms-p%.0f", 100*share))
			}
			count := float64(len(node))
			b.ReportMetric((float64(nodeAllocations)-float64(engineAllocations))/count, "added-allocs/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// timeAndCount returns the duration of a request and adds the allocations of the process during the
// request to allocations.
func timeAndCount(b *testing.B, request func() *http.Request, allocations *uint64) time.Duration {
	var before, after runtime.MemStats
	prepared := request()
	runtime.ReadMemStats(&before)
	elapsed := timeRequest(b, prepared)
	runtime.ReadMemStats(&after)
	*allocations += after.Mallocs - before.Mallocs
	return elapsed
}

func timeRequest(b *testing.B, request *http.Request) time.Duration {
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	_ = response.Body.Close()
	assert.Equal(b, response.StatusCode, http.StatusOK)
	return time.Since(began)
}

func quantile(times []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(duration time.Duration) float64 { return duration.Seconds() * 1000 }
