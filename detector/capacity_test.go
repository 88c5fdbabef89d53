package detector_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpetcleat/standin/measurer"
)

// BenchmarkMember measures the processor time of one second of one member, its
// heartbeats, answers and gossip included, and the memory of its table.
func BenchmarkMember(b *testing.B) {
	for _, each := range []int{5, 19, 78} {
		b.Run(fmt.Sprint("members ", 5*each), func(b *testing.B) {
			before := measurer.HeapAlloc()
			network := newNetwork(5, each)
			network.shareMembers()
			network.run(20 * time.Second)
			members := float64(len(network.nodes))
			table := (measurer.HeapAlloc() - before) / members
			for b.Loop() {
				network.run(time.Second)
			}
			b.ReportMetric(table, "B/table")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/members, "us/s/member")
			runtime.KeepAlive(network)
		})
	}
}
