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

// BenchmarkWholePath compares a call through a node with the same call sent to
// the stand-in engine directly, in turn within one run. The allocations are
// those of the whole process for one call, so that their difference is the
// node's.
func BenchmarkWholePath(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("streamed=%t", stream), func(b *testing.B) {
			system := start(b, plan{slots: 64})
			body := chat("zips #len=8", stream)
			through := func() *http.Request { return system.request("/v1/chat/completions", body) }
			direct := func() *http.Request {
				request := through()
				request.URL.Host = system.engines[0]
				return request
			}
			for range 20 {
				timed(b, through())
				timed(b, direct())
			}
			var node, engine []time.Duration
			nodeAllocations, engineAllocations := uint64(0), uint64(0)
			for b.Loop() {
				node = append(node, counted(b, through, &nodeAllocations))
				engine = append(engine, counted(b, direct, &engineAllocations))
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

func counted(b *testing.B, request func() *http.Request, allocations *uint64) time.Duration {
	var before, after runtime.MemStats
	made := request()
	runtime.ReadMemStats(&before)
	taken := timed(b, made)
	runtime.ReadMemStats(&after)
	*allocations += after.Mallocs - before.Mallocs
	return taken
}

func timed(b *testing.B, request *http.Request) time.Duration {
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
