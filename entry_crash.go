package limpetcleat

import (
	"runtime/debug"

	"github.com/sourcegraph/conc/panics"

	"limpetcleat/failer"
	"limpetcleat/logger"
)

// PartCrashed is the kind of a node that stopped since one of its parts panicked.
const PartCrashed Kind = "partCrashed"

// guarded returns the run of a part which, if it panics, logs that and begins a graceful shutdown: requests
// that have begun need no more than what is known, but the node can serve no new ones for long.
func (entry *Entry) guarded(part string, run func()) func() {
	return func() {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			value, stack := describePanic(cause)
			entry.journal.event(logger.EventPartCrashed, "part", part, "cause", value, "stack", stack)
			entry.crashed.Do(func() {
				entry.crash = failer.New("limpetcleat.run", PartCrashed, "%s: %v", part, value)
				close(entry.crashNoticed)
			})
		}()
		run()
	}
}

// describePanic returns the value of a panic and the stack of the goroutine that raised it, which each
// goroutine that waited for it has wrapped. It is called while the last one of them recovers.
func describePanic(cause any) (value any, stack string) {
	value, stack = cause, string(debug.Stack())
	for {
		recovered, wrapped := value.(*panics.Recovered)
		if !wrapped {
			return value, stack
		}
		value, stack = recovered.Value, string(recovered.Stack)
	}
}
