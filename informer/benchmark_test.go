package informer

import (
	"fmt"
	"testing"

	"limpetcleat/chronicler"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// BenchmarkToldUpstreams measures what a node that knows 2,800 upstreams takes to take in
// one message with as many changes as it holds.
func BenchmarkToldUpstreams(b *testing.B) {
	const upstreams = 2800
	informer, _ := newNode()
	sink := upstreamLedger{informer.knowledge.upstreams}
	var list []registrar.Upstream
	for number := range upstreams {
		list = append(list, upstream(fmt.Sprintf("u%04d", number), uint64(number+1), func(*registrar.Upstream) {}))
	}
	sink.Replace(list, follower.Reading{Revision: upstreams})
	revision := uint64(upstreams)
	for b.Loop() {
		excerpt := chronicler.Excerpt[messenger.UpstreamEntry]{From: revision}
		for number := range mostUpstreams {
			revision++
			changed := list[number]
			changed.Revision = revision
			excerpt.Records = append(excerpt.Records, upstreamRecord(&changed))
		}
		excerpt.To, excerpt.Known = revision, revision
		informer.knowledge.upstreams.told(&excerpt)
	}
}
