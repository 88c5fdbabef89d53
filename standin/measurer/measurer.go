// Package measurer measures the resource usage of components in tests: heap memory, CPU time and
// the bytes and messages that nodes exchange.
package measurer

import (
	"runtime"
	"syscall"
	"time"
)

// HeapAlloc runs a garbage collection and returns the allocated heap memory in bytes.
func HeapAlloc() float64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// CPUTime returns the CPU time that this process has used, in user and system mode.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
