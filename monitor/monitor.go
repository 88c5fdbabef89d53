// Package monitor watches the memory and the file descriptors of this process against their limits, so that
// the log of a process which ends for want of them tells so before its end.
package monitor

import (
	"context"
	"time"

	"limpetcleat/logger"
)

const (
	// interval is the time between two readings.
	interval = time.Second
	// highShare is the share of a limit from which its use counts as high, until it is below lowShare.
	highShare = 0.8
	lowShare  = 0.7
)

// Limits are the limits of the process; 0 means unknown or unlimited.
type Limits struct {
	// Memory is the resident memory in bytes at which the process is killed.
	Memory int64
	// Descriptors is the number of file descriptors beyond which none is opened.
	Descriptors int64
}

// Usage is what the process uses at a moment.
type Usage struct {
	// Memory is the resident memory in bytes, Heap the part of it that the Go runtime manages.
	Memory int64
	Heap   int64
	// Descriptors is the number of open file descriptors.
	Descriptors int64
}

// Work is what the process holds for callers at a moment.
type Work struct {
	// Connections is the number of open connections of callers.
	Connections int64
	// Streams is the number of streamed answers that have begun and not ended.
	Streams int64
	Held
}

// Held is what the process holds in memory of what others have sent, in bytes.
type Held struct {
	// Bodies is the size of callers' requests, Answers that of upstreams' answers, Messages that of peers'
	// messages, and Store that of the store's answers. Small ones are not counted.
	Bodies   int64
	Answers  int64
	Messages int64
	Store    int64
	// Buffers is the size of the kernel's receive buffers, without those of the smallest size.
	Buffers int64
}

// Reader reads what the process uses.
type Reader interface {
	Read() (Usage, error)
}

// Monitor logs when the use of a resource becomes high and when it is no longer. It is owned by the goroutine
// that calls Run.
type Monitor struct {
	limits Limits
	reader Reader
	work   func() Work
	log    func(number int, pairs ...any)
	report func(Usage, Work)
	// memoryHigh and descriptorsHigh tell which resources were high at the last reading.
	memoryHigh      bool
	descriptorsHigh bool
	// unreadable is set once a failed reading was logged, until one succeeds.
	unreadable bool
}

// Option changes one setting of a Monitor.
type Option func(*Monitor)

// WithLog sets the function that receives numbered events. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(monitor *Monitor) { monitor.log = log }
}

// WithReports sets the function that is called with each reading. The default does nothing.
func WithReports(report func(Usage, Work)) Option {
	return func(monitor *Monitor) { monitor.report = report }
}

// New returns a Monitor of the process that the reader reads; work returns what it holds for callers.
func New(limits Limits, reader Reader, work func() Work, options ...Option) *Monitor {
	monitor := &Monitor{limits: limits, reader: reader, work: work, log: func(int, ...any) {}, report: func(Usage, Work) {}}
	for _, option := range options {
		option(monitor)
	}
	return monitor
}

// Run reads what the process uses once a second until the context ends.
func (monitor *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		monitor.Check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Check reads what the process uses and logs what has become high or is no longer.
func (monitor *Monitor) Check() {
	usage, err := monitor.reader.Read()
	if err != nil {
		if !monitor.unreadable {
			monitor.log(logger.EventUsageUnreadable, "cause", err)
		}
		monitor.unreadable = true
		return
	}
	monitor.unreadable = false
	work := monitor.work()
	monitor.report(usage, work)
	monitor.memoryHigh = monitor.judge("memory", monitor.memoryHigh, usage.Memory, monitor.limits.Memory, &usage, &work)
	monitor.descriptorsHigh = monitor.judge("descriptors", monitor.descriptorsHigh, usage.Descriptors, monitor.limits.Descriptors, &usage, &work)
}

// judge returns whether the use of a resource is high, and logs a change.
func (monitor *Monitor) judge(resource string, wasHigh bool, used, limit int64, usage *Usage, work *Work) bool {
	if limit <= 0 {
		return false
	}
	threshold := highShare
	if wasHigh {
		threshold = lowShare
	}
	high := float64(used) >= threshold*float64(limit)
	if high != wasHigh {
		monitor.log(logger.EventResourceHigh, "resource", resource, "high", high, "used", used, "limit", limit,
			"memory", usage.Memory, "heap", usage.Heap, "descriptors", usage.Descriptors,
			"connections", work.Connections, "streams", work.Streams, "bodies", work.Bodies, "answers", work.Answers, "messages", work.Messages, "store", work.Store, "buffers", work.Buffers)
	}
	return high
}
