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

// BenchmarkRecord measures the cost of recording one request.
func BenchmarkRecord(b *testing.B) {
	counting := recorder.New()
	defer counting.Close()
	record := answeredRecord(200, true, 2*time.Second)
	b.ReportAllocs()
	for b.Loop() {
		counting.Record(record)
	}
}

// BenchmarkClassMemory measures the heap memory of each additional class.
func BenchmarkClassMemory(b *testing.B) {
	const classes = 50
	for b.Loop() {
		counting := recorder.New()
		before := heapBytes()
		for index := range classes {
			counting.Record(decider.Record{Class: definer.ClassName(fmt.Sprint(index)), Complete: true})
		}
		b.ReportMetric((heapBytes()-before)/classes, "B/class")
		counting.Close()
	}
}

func heapBytes() float64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}
