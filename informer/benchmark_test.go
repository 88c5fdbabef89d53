package informer

import (
	"fmt"
	"testing"

	"limpetcleat/chronicler"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// BenchmarkToldUpstreams measures how long a node that knows 2,800 upstreams takes to
// apply one message with the maximum number of changes.
func BenchmarkToldUpstreams(b *testing.B) {
	const upstreams = 2800
	informer, _ := newNode()
	sink := upstreamReplicaSink{informer.knowledge.upstreams}
	var list []registrar.Upstream
	for number := range upstreams {
		list = append(list, upstream(fmt.Sprintf("u%04d", number), uint64(number+1), func(*registrar.Upstream) {}))
	}
	sink.Replace(list, follower.Reading{Revision: upstreams})
	revision := uint64(upstreams)
	for b.Loop() {
		excerpt := chronicler.Excerpt[messenger.UpstreamEntry]{From: revision}
		for number := range maxUpstreams {
			revision++
			changed := list[number]
			changed.Revision = revision
			excerpt.Records = append(excerpt.Records, upstreamRecord(&changed))
		}
		excerpt.To, excerpt.Known = revision, revision
		informer.knowledge.upstreams.applyExcerpt("source", &excerpt)
	}
}
