package scheduler

import (
	"fmt"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// BenchmarkAskAndRelease measures one ask and one release with 64 upstreams of
// 16 slots, 1,900 organisations and five tiers, with all slots in use and asks in the
// queue.
func BenchmarkAskAndRelease(b *testing.B) {
	for _, backlog := range []int{0, 1000, 10_000} {
		b.Run(fmt.Sprint("backlog ", backlog), func(b *testing.B) {
			pool, classes := poolSetting{upstreams: 64, slots: 16, protectedShare: 0.1}.build(b)
			scheduler := New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1"}, WithPool(pool))
			scheduler.Configure(start(), pool.Upstreams(), classes)
			draw := seeded(1)
			now, running, asked := start(), []definer.GrantID(nil), 0
			take := func(decisions []Decision) {
				for _, decision := range decisions {
					if decision.Granted() {
						running = append(running, decision.Grant)
					}
				}
			}
			step := func(class int) {
				asked++
				now = now.Add(time.Millisecond)
				take(scheduler.Ask(now, Ask{
					Request: definer.RequestID(fmt.Sprint("r", asked)), Class: classes[class], Weight: 1,
					Organisation: definer.OrganisationName(fmt.Sprint("o", draw(1900))), Model: "large", Arrival: now,
				}))
			}
			for range 64*16 + backlog {
				step(3 + draw(2))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				step(draw(5))
				if len(running) < 1000 {
					continue
				}
				index, last := draw(len(running)), len(running)-1
				id := running[index]
				running[index] = running[last]
				running = running[:last]
				take(scheduler.Release(now, id, messenger.Observation{Tokens: 200, Total: time.Second}))
			}
			b.ReportMetric(float64(scheduler.Waiting()), "waiting")
		})
	}
}
