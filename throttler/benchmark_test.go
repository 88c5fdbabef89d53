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

// benchFleet is the Fleet and Sender of a throttler in a fleet of the target size. It drops all
// messages.
type benchFleet struct{ nodes []exchanger.Peer }

func (benchFleet *benchFleet) Nodes() ([]exchanger.Peer, bool) { return benchFleet.nodes, true }

func (benchFleet *benchFleet) Reached(time.Time) int { return len(benchFleet.nodes) }

func (*benchFleet) Send(context.Context, string, messenger.Message) {}

// newBenchThrottler returns the throttler of the first of the nodes in five data centres, which knows the
// limits of 2,800 upstreams.
func newBenchThrottler(nodes int) *Throttler {
	const dataCentres, upstreams = 5, 2800
	fleet := &benchFleet{}
	for number := range nodes {
		fleet.nodes = append(fleet.nodes, exchanger.Peer{
			VM: definer.VM(fmt.Sprintf("entry-%d", number)), DataCentre: definer.DataCentre(fmt.Sprintf("d%d", number%dataCentres)), Address: fmt.Sprint(number),
		})
	}
	known := announcer.New()
	now := time.Now()
	for number := range upstreams {
		known.Record(now, benchStart(number), now, announcer.Announcement{Limit: definer.LimitTo(2)})
	}
	throttler := New(fleet.nodes[0], fleet, fleet, known)
	throttler.schedule = func(resource, time.Time) {}
	return throttler
}

func benchStart(number int) definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", number))}
}

// BenchmarkAskForPermit measures the cost of an ask for the node that asks.
func BenchmarkAskForPermit(b *testing.B) {
	throttler := newBenchThrottler(390)
	b.ReportAllocs()
	for count := 0; b.Loop(); count++ {
		throttler.forgetAsk(throttler.sendAsk(time.Now(), PermitRequest{Start: benchStart(count % 2800), DataCentre: "d1"}))
	}
}

// BenchmarkDecideOnPermit measures the cost of a peer's ask for the node that decides on it.
func BenchmarkDecideOnPermit(b *testing.B) {
	throttler := newBenchThrottler(390)
	b.ReportAllocs()
	for count := 0; b.Loop(); count++ {
		now := time.Now()
		throttler.mutex.Lock()
		throttler.decide(now, throttler.listNodes(now), &askedPermit{start: benchStart(count % 8), dataCentre: "d0", ask: issuer.Ask{ID: issuer.AskID{From: "entry-1", Number: uint64(count)}}, replyTo: "1"})
		throttler.mutex.Unlock()
	}
}

// BenchmarkPlace measures the cost of a permit that is in use until its request ends, for the node
// that issues it: the decision on a peer's ask, and the return.
func BenchmarkPlace(b *testing.B) {
	for _, nodes := range []int{59, 390, 986, 1972} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			throttler := newBenchThrottler(nodes)
			throttler.announcer.RecordRejectionLimit(time.Now(), "desk", time.Now(), definer.LimitTo(6))
			limit, _ := throttler.announcer.RejectionLimit(time.Now(), "desk")
			b.ReportAllocs()
			for count := 0; b.Loop(); count++ {
				now := time.Now()
				message := &messenger.PermitAsk{
					Number: uint64(count), DataCentre: "d0", ReplyTo: "1", Announcement: messenger.UpstreamAnnouncement{Upstream: "unlimited", Age: messenger.Unannounced},
					Occupancy: &messenger.Occupancy{Limit: limit.Encode(now), Slots: 12, Settled: uint64(count)},
				}
				throttler.receiveAsk(now, "entry-1", message)
				returned := *message
				returned.Withdrawn = true
				throttler.receiveAsk(now, "entry-1", &returned)
			}
		})
	}
}
