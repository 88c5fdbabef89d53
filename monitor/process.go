package monitor

import (
	"bytes"
	"errors"
	"io"
	"math"
	"os"
	"runtime/metrics"
	"strconv"

	"golang.org/x/sys/unix"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

// Unreadable marks a figure that the kernel does not provide.
const Unreadable Kind = "unreadable"

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	memoryFile          = "/proc/self/statm"
	descriptorDirectory = "/proc/self/fd"
	// namesPerRead bounds the directory entries that are read at a time.
	namesPerRead = 256
	heapMetric   = "/memory/classes/heap/objects:bytes"
)

// Process reads what this process uses from the kernel and the Go runtime.
type Process struct{}

// Read returns what the process uses. The error is of kind Unreadable.
func (Process) Read() (Usage, error) {
	memory, err := residentMemory()
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := countDescriptors()
	if err != nil {
		return Usage{}, err
	}
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return Usage{Memory: memory, Heap: int64(min(sample[0].Value.Uint64(), math.MaxInt64)), Descriptors: descriptors}, nil
}

// residentMemory returns the resident memory in bytes.
func residentMemory() (int64, error) {
	data, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0, failer.New("monitor.memory", Unreadable, "%w", err)
	}
	// The second field is the number of resident pages.
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0, failer.New("monitor.memory", Unreadable, "%s has %d fields", memoryFile, len(fields))
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, failer.New("monitor.memory", Unreadable, "%s: %w", memoryFile, err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// countDescriptors returns the number of open file descriptors without the one that is used to count them.
func countDescriptors() (int64, error) {
	directory, err := os.Open(descriptorDirectory)
	if err != nil {
		return 0, failer.New("monitor.descriptors", Unreadable, "%w", err)
	}
	defer func() { _ = directory.Close() }() // It is only read.
	var count int64
	for {
		names, err := directory.Readdirnames(namesPerRead)
		count += int64(len(names))
		if errors.Is(err, io.EOF) {
			return count - 1, nil
		}
		if err != nil {
			return 0, failer.New("monitor.descriptors", Unreadable, "%w", err)
		}
	}
}

// DescriptorLimit returns how many file descriptors the kernel lets this process open, or 0 if it does not
// tell.
func DescriptorLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int64(min(limit.Cur, math.MaxInt64))
}
