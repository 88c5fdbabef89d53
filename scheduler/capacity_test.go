package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

// BenchmarkMemory measures the heap bytes for each grant and each queued ask, with 64
// upstreams of 16 slots and asks of 1,900 organisations.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		pool, classes := poolSetting{upstreams: 64, slots: 16, protectedShare: 0}.build(b)
		scheduler := New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1"}, WithPool(pool))
		scheduler.Configure(start(), pool.Upstreams(), classes)
		ask := func(from, to int) float64 {
			before := measurer.HeapAlloc()
			for index := from; index < to; index++ {
				now := start().Add(time.Duration(index) * time.Microsecond)
				scheduler.Ask(now, Ask{
					Request: definer.RequestID(fmt.Sprintf("b1946ac92492d2347c6235b4%08d", index)), Class: classes[4], Weight: 1,
					Organisation: definer.OrganisationName(fmt.Sprint("organisation", index%1900)), Arrival: now,
				})
			}
			return (measurer.HeapAlloc() - before) / float64(to-from)
		}
		b.ReportMetric(ask(0, 1024), "B/grant")
		b.ReportMetric(ask(1024, 11_024), "B/queued")
		b.ReportMetric(float64(scheduler.Waiting()), "waiting")
		runtime.KeepAlive(scheduler)
	}
}
