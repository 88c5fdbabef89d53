package decider

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// cancelAfter is how long the work of a member that is gone is left running, in
// case it was only out of touch.
const cancelAfter = time.Second

// orphan is work on an upstream whose entry VM is gone.
type orphan struct {
	entry    definer.Member
	attempt  definer.AttemptID
	upstream *definer.Upstream
	at       time.Time
}

// orphans cancels the work that nobody waits for any more.
type orphans struct {
	*core
	waiting []orphan
}

func newOrphans(core *core) *orphans { return &orphans{core: core} }

// add notes a reclaimed grant whose work may still run.
func (orphans *orphans) add(issue issue, shard messenger.Shard) {
	pool, ok := orphans.configuration.Pool(shard.Pool)
	if !ok || pool.Kind() != definer.Engine {
		return
	}
	for _, upstream := range pool.Upstreams() {
		if upstream.Name() == issue.upstream {
			orphans.waiting = append(orphans.waiting, orphan{entry: issue.entry, attempt: attemptID(issue.request, issue.attempt), upstream: upstream, at: orphans.now})
		}
	}
}

// cancel stops the work of members that stayed away.
func (orphans *orphans) cancel() {
	orphans.waiting = slices.DeleteFunc(orphans.waiting, func(orphan orphan) bool {
		if orphans.roster.alive(orphan.entry) {
			return true
		}
		if orphans.now.Sub(orphan.at) < cancelAfter {
			return false
		}
		orphans.act(CancelUpstreamWork{Attempt: orphan.attempt, Upstream: orphan.upstream})
		return true
	})
}
