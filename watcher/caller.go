package watcher

import (
	"context"
	"time"

	"limpetcleat/decider"
	"limpetcleat/storer"
)

// Call queues a call to the platform and returns at once. The result is delivered
// later as a PlatformAnswered event, unless the watcher ends first.
func (watcher *Watcher) Call(call decider.CallPlatform) { watcher.queue.put(call) }

// runWorker executes queued calls until the context ends; it always returns nil. A
// call that waited longer than maxQueueTime is answered without being sent.
func (watcher *Watcher) runWorker(ctx context.Context) error {
	for {
		next, err := watcher.queue.take(ctx)
		if err != nil {
			return nil
		}
		if time.Since(next.queuedAt) > maxQueueTime {
			watcher.deliver(decider.PlatformAnswered{Call: next.call.Call, Result: noEffectResult(next.call)})
			continue
		}
		object, err := watcher.execute(ctx, next.call)
		watcher.deliver(decider.PlatformAnswered{
			Call:    next.call.Call,
			Result:  resultOf(next.call, err),
			Version: object.Version,
			Value:   object.Value,
		})
	}
}

// execute sends the call to the platform and returns the object in the response.
func (watcher *Watcher) execute(ctx context.Context, call decider.CallPlatform) (storer.Object, error) {
	switch call.Verb {
	case decider.CreateObject:
		return watcher.platform.Create(ctx, call.Kind, call.Name, call.Value)
	case decider.UpdateObject:
		return watcher.platform.Update(ctx, call.Kind, call.Name, call.Version, call.Value)
	case decider.DeleteObject:
		return watcher.platform.Delete(ctx, call.Kind, call.Name, call.Version)
	default:
		return watcher.platform.Read(ctx, call.Kind, call.Name)
	}
}

// resultOf returns the result of a call that ended with err. A failed read is CallLost
// whatever the error, unless the object is missing: a read has no effect, so the
// difference between CallRejected and CallLost does not apply to it.
func resultOf(call decider.CallPlatform, err error) decider.PlatformResult {
	if err == nil {
		return decider.CallDone
	}
	switch storer.KindOf(err) {
	case storer.Missing:
		return decider.CallMissing
	case storer.Conflict:
		return decider.CallConflict
	case storer.Rejected, storer.Refused:
		return noEffectResult(call)
	default:
		return decider.CallLost
	}
}

// noEffectResult returns the result of a failed call that had no effect on the
// platform: CallRejected for a write, CallLost for a read.
func noEffectResult(call decider.CallPlatform) decider.PlatformResult {
	if call.Verb == decider.ReadObject {
		return decider.CallLost
	}
	return decider.CallRejected
}
