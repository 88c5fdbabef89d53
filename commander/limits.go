package commander

import (
	"math"
	"os"
	"runtime/debug"

	"limpetcleat/logger"
	"limpetcleat/monitor"
)

// keepHeapLimit makes debug.SetMemoryLimit return the limit without changing it.
const keepHeapLimit = -1

// descriptorLimit returns how many file descriptors this process may open: the number in its settings, or
// that of the kernel if it is lower or the settings have none.
func descriptorLimit(set int64) int64 {
	kernel := monitor.DescriptorLimit()
	if set <= 0 || kernel > 0 && kernel < set {
		return kernel
	}
	return set
}

// heapLimit returns the limit in bytes that the environment sets for the heap of this process, or 0 if it sets none.
func heapLimit() int64 {
	limit := debug.SetMemoryLimit(keepHeapLimit)
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// logLimits logs the limits of this process: its memory in bytes, 0 for unknown, its file descriptors, and
// the bandwidth of its link.
func logLimits(log *logger.Logger, memory, descriptors int64, linkMbps int) {
	log.Event(logger.EventProcessLimits, "pid", os.Getpid(), "memory", memory, "heapLimit", debug.SetMemoryLimit(keepHeapLimit),
		"descriptors", descriptors, "linkMbps", linkMbps)
}
