package throttler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/issuer"
	"limpetcleat/messenger"
)

// bench is a fleet of the target size around one throttler, which drops what it is sent.
type bench struct{ nodes []exchanger.Peer }

// Nodes returns all nodes.
func (bench *bench) Nodes() ([]exchanger.Peer, bool) { return bench.nodes, true }

// Send drops a message.
func (*bench) Send(context.Context, string, messenger.Message) {}

// newBench returns the throttler of the first of 390 nodes in five data centres, which knows
// the limits of 2,800 upstreams.
func newBench() *Throttler {
	const nodes, dataCentres, upstreams = 390, 5, 2800
	fleet := &bench{}
	for number := range nodes {
		fleet.nodes = append(fleet.nodes, exchanger.Peer{
			VM: definer.VM(fmt.Sprintf("entry-%d", number)), DataCentre: definer.DataCentre(fmt.Sprintf("d%d", number%dataCentres)), Address: fmt.Sprint(number),
		})
	}
	known := announcer.New()
	now := time.Now()
	for number := range upstreams {
		known.Hear(now, benchStart(number), now, announcer.Announcement{Limit: definer.LimitTo(2)})
	}
	throttler := New(fleet.nodes[0], fleet, fleet, known)
	throttler.schedule = func(definer.UpstreamStart, time.Time) {}
	return throttler
}

func benchStart(number int) definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", number))}
}

// BenchmarkAskForPermit measures what an ask costs the node that asks.
func BenchmarkAskForPermit(b *testing.B) {
	throttler := newBench()
	b.ReportAllocs()
	for count := 0; b.Loop(); count++ {
		throttler.end(throttler.begin(time.Now(), Need{Start: benchStart(count % 2800), DataCentre: "d1"}))
	}
}

// BenchmarkDecideOnPermit measures what an ask of a peer costs the node that decides on it.
func BenchmarkDecideOnPermit(b *testing.B) {
	throttler := newBench()
	b.ReportAllocs()
	for count := 0; b.Loop(); count++ {
		now := time.Now()
		throttler.mutex.Lock()
		throttler.serve(now, throttler.look(), benchStart(count%8), "d0", issuer.Ask{ID: issuer.AskID{From: "entry-1", Number: uint64(count)}}, "1")
		throttler.mutex.Unlock()
	}
}
