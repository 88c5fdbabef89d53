package exchanger

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// BenchmarkAggregator measures the reports that an aggregator composes in one interval
// and the traffic on its link, with 81 nodes in 4 data centres and 224 engines in use.
func BenchmarkAggregator(b *testing.B) {
	const engines, members, groups = 224, 10, 7
	now := time.Now()
	choice := selector.New("west")
	self := Peer{VM: "a", DataCentre: "west", Address: "a"}
	aggregator := New(self, choice, silentSender{})
	peers := []Peer{self}
	for number := range members {
		peers = append(peers, Peer{VM: definer.VM(fmt.Sprintf("m%d", number)), DataCentre: "west", Address: "m"})
	}
	for number := range groups {
		peers = append(peers, Peer{VM: definer.VM(fmt.Sprintf("g%d", number)), DataCentre: definer.DataCentre(fmt.Sprint(number)), Address: "g"})
	}
	aggregator.Replace(peers)
	report := &messenger.LoadReport{Nodes: 1}
	for number := range engines {
		report.Loads = append(report.Loads, messenger.UpstreamLoad{
			Upstream: definer.UpstreamName(fmt.Sprintf("i-%08x", number)), InFlight: 1, Tokens: 9000, Heard: 40 * time.Millisecond, HasHeard: true, Unread: 2000,
		})
	}
	var candidates []*registrar.Upstream
	for _, load := range report.Loads {
		candidates = append(candidates, &registrar.Upstream{ID: load.Upstream, Service: "pool", Slots: 12})
	}
	for range engines {
		_, _ = choice.Choose(now, &selector.Demand{Service: "pool", Rule: "k", Candidates: candidates, Engine: true, PromptTokens: 2000, OutputTokens: 100, TimeLeft: time.Minute})
	}
	sent := 0
	for b.Loop() {
		for _, peer := range peers[1:] {
			told := *report
			if peer.DataCentre != "west" {
				told.Scope = messenger.GroupLoad
			}
			aggregator.receive(now, definer.Member{VM: peer.VM}, &told)
		}
		sent = 0
		for stage := memberStage; stage < stageCount; stage++ {
			for _, outgoing := range aggregator.compose(now, stage) {
				var encoded bytes.Buffer
				if err := gob.NewEncoder(&encoded).Encode(outgoing.report); err != nil {
					b.Fatal(err)
				}
				sent += encoded.Len()
			}
		}
	}
	b.ReportMetric(float64(sent)/interval.Seconds()*8/1e6, "Mbit/s")
}

// BenchmarkPaceBytes measures by how many bytes the fields that predictions need lengthen a report,
// for each engine in it.
func BenchmarkPaceBytes(b *testing.B) {
	const engines = 60
	size := func(change func(*messenger.UpstreamLoad)) int {
		report := &messenger.LoadReport{Nodes: 87}
		for number := range engines {
			load := messenger.UpstreamLoad{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", number)), Incarnation: 1_790_000_000_000_000_000, InFlight: 17, Tokens: 90_000, Heard: 4 * time.Millisecond, HasHeard: true, Unread: 2000}
			change(&load)
			report.Loads = append(report.Loads, load)
		}
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(report); err != nil {
			b.Fatal(err)
		}
		return encoded.Len()
	}
	added := 0
	for b.Loop() {
		without := size(func(*messenger.UpstreamLoad) {})
		added = size(func(load *messenger.UpstreamLoad) { load.ExpectedMs, load.ActualMs, load.Streams = 1800, 2100, 12 }) - without
	}
	b.ReportMetric(float64(added)/engines, "B/engine")
}
