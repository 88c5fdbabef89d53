package watcher

import (
	"context"
	"time"

	"limpetcleat/decider"
	"limpetcleat/storer"
)

// Call queues one of the core's calls; PlatformAnswered is delivered later,
// unless the watcher ends first.
func (watcher *Watcher) Call(call decider.CallPlatform) { watcher.queue.put(call) }

// work carries out queued calls until the context ends.
func (watcher *Watcher) work(ctx context.Context) error {
	for {
		next, err := watcher.queue.take(ctx)
		if err != nil {
			return nil
		}
		if time.Since(next.since) > callPatience {
			watcher.deliver(decider.PlatformAnswered{Call: next.call.Call, Result: unsent(next.call)})
			continue
		}
		object, err := watcher.carry(ctx, next.call)
		watcher.deliver(decider.PlatformAnswered{
			Call:    next.call.Call,
			Result:  result(next.call, err),
			Version: object.Version,
			Value:   object.Value,
		})
	}
}

func (watcher *Watcher) carry(ctx context.Context, call decider.CallPlatform) (storer.Object, error) {
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

// result tells the core what became of a call. A read has no effect that could
// be in doubt, so that any failure of one is CallLost.
func result(call decider.CallPlatform, err error) decider.PlatformResult {
	if err == nil {
		return decider.CallDone
	}
	switch storer.KindOf(err) {
	case storer.Missing:
		return decider.CallMissing
	case storer.Conflict:
		return decider.CallConflict
	case storer.Rejected, storer.Refused:
		return unsent(call)
	default:
		return decider.CallLost
	}
}

// unsent is the result of a call that had no effect.
func unsent(call decider.CallPlatform) decider.PlatformResult {
	if call.Verb == decider.ReadObject {
		return decider.CallLost
	}
	return decider.CallRejected
}
