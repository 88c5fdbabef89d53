package decider

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// cancelDelay is how long the work of a member that is gone keeps running, in
// case the member was only unreachable.
const cancelDelay = time.Second

// orphan is work on an upstream whose entry VM is gone.
type orphan struct {
	entry    definer.Member
	attempt  definer.AttemptID
	upstream *definer.Upstream
	at       time.Time
}

// orphans cancels upstream work whose entry VM is gone.
type orphans struct {
	*core
	waiting []orphan
}

func newOrphans(core *core) *orphans { return &orphans{core: core} }

// add records a reclaimed grant whose work may still run.
func (orphans *orphans) add(record grantRecord, shard messenger.Shard) {
	pool, ok := orphans.configuration.Pool(shard.Pool)
	if !ok || pool.Kind() != definer.Engine {
		return
	}
	for _, upstream := range pool.Upstreams() {
		if upstream.Name() == record.upstream {
			orphans.waiting = append(orphans.waiting, orphan{entry: record.entry, attempt: attemptID(record.request, record.attempt), upstream: upstream, at: orphans.now})
		}
	}
}

// cancel cancels the work of members that stayed away for cancelDelay.
func (orphans *orphans) cancel() {
	orphans.waiting = slices.DeleteFunc(orphans.waiting, func(orphan orphan) bool {
		if orphans.roster.alive(orphan.entry) {
			return true
		}
		if orphans.now.Sub(orphan.at) < cancelDelay {
			return false
		}
		orphans.emit(CancelUpstreamWork{Attempt: orphan.attempt, Upstream: orphan.upstream})
		return true
	})
}
