// Package measurer measures what parts cost in a trial: memory, processor time and bytes on the wire.
package measurer

import (
	"runtime"
	"syscall"
	"time"
)

// HeapInUse returns the bytes of the heap that are reachable, after a collection.
func HeapInUse() float64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// ProcessorTime returns what this process has used, in the program and in the system for it.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
