package recorder_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/recorder"
)

// BenchmarkRecord measures the cost of one ended request.
func BenchmarkRecord(b *testing.B) {
	counting := recorder.New()
	defer counting.Close()
	record := answered(200, true, 2*time.Second)
	b.ReportAllocs()
	for b.Loop() {
		counting.Record(record)
	}
}

// BenchmarkClassMemory measures the memory that one more class takes.
func BenchmarkClassMemory(b *testing.B) {
	const classes = 50
	for b.Loop() {
		counting := recorder.New()
		before := heap()
		for index := range classes {
			counting.Record(decider.Record{Class: definer.ClassName(fmt.Sprint(index)), Complete: true})
		}
		b.ReportMetric((heap()-before)/classes, "B/class")
		counting.Close()
	}
}

func heap() float64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}
