package decider_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// BenchmarkWholeFleet measures, in simulated time, how long a change takes to
// be in force on all of 390 nodes in 5 data centres.
func BenchmarkWholeFleet(b *testing.B) {
	fleet := newFleet(b, 1, 5, 78)
	fleet.bootAll()
	fleet.store(1, smallDocument(1), true)
	fleet.waitApplied(inForceWithin, 1)
	fleet.Advance(10 * time.Second)
	var times []time.Duration
	for b.Loop() {
		version := uint64(len(times) + 2)
		fleet.store(version, smallDocument(int(version)), true)
		times = append(times, fleet.waitApplied(inForceWithin, version))
		fleet.Advance(time.Second)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "ms-median")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "ms-most")
}

// largeDocument returns a configuration of the full size: 1,900 organisations,
// 21 models, 2,800 upstreams and 50 rules.
func largeDocument() definer.Document {
	document := definer.Document{Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600_000}}
	for index := range 5 {
		document.Classes = append(document.Classes, definer.ClassDocument{Name: fmt.Sprintf("class%d", index), Tier: index, FirstTokenMs: 800, BetweenTokensMs: 60, Attainment: 0.99, FloorShare: 0.05, LongestWaitMs: 30_000})
	}
	for index := range 21 {
		document.Pools = append(document.Pools, definer.PoolDocument{Name: fmt.Sprintf("model-%02d", index), Kind: "engine", ProtectedShare: 0.2})
	}
	for index := range 2800 {
		pool := &document.Pools[index%21]
		pool.Upstreams = append(pool.Upstreams, definer.UpstreamDocument{
			Name: fmt.Sprintf("runner-%04d", index), DataCentre: string(dataCentreOf(index % 5)), Models: []string{pool.Name},
			Address: fmt.Sprintf("10.%d.%d.%d:8000", index%5, index/250, index%250), Slots: 16, MaxSlots: 32,
		})
	}
	for index := range 1900 {
		document.Organisations = append(document.Organisations, definer.OrganisationDocument{
			Name: fmt.Sprintf("organisation-%04d", index), KeyHashes: []string{fmt.Sprintf("%064x", 2*index), fmt.Sprintf("%064x", 2*index+1)}, Weight: 2, RequestsPerSecond: 50,
		})
	}
	for index := range 50 {
		document.Rules = append(document.Rules, definer.RuleDocument{
			Name: fmt.Sprintf("rule %d", index), When: fmt.Sprintf(`model == "model-%02d" && organisation == "organisation-%04d" && promptTokens < 4000`, index%21, index),
			Then: definer.ActionDocument{Class: fmt.Sprintf("class%d", index%5), Pool: fmt.Sprintf("model-%02d", index%21), Repeat: "idempotent", DeadlineMs: 60_000},
		})
	}
	return document
}

// meter counts the bytes of messages as encoded on an established connection.
type meter struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newMeter(b *testing.B) *meter {
	meter := &meter{}
	meter.encoder = gob.NewEncoder(&meter.buffer)
	// The first message also carries the descriptions of all types.
	meter.bytes(b, &messenger.ConfigurationAnswer{})
	return meter
}

func (meter *meter) bytes(b *testing.B, message messenger.Message) int {
	meter.buffer.Reset()
	envelope := messenger.Envelope{From: definer.Member{VM: "v001", Incarnation: 1_800_000_000_000_000_000}, DataCentre: "d0", Frames: []messenger.Frame{messenger.Wrap(message)}}
	assert.NilError(b, meter.encoder.Encode(envelope))
	return meter.buffer.Len()
}

// BenchmarkBytesPerChange measures the encoded size, per node, of all
// configuration messages that one change of each kind causes.
func BenchmarkBytesPerChange(b *testing.B) {
	changes := map[string]func(*definer.Document, int){
		"rule": func(document *definer.Document, number int) { document.Rules[7].Then.DeadlineMs = number },
		"upstream": func(document *definer.Document, number int) {
			document.Pools[3].Upstreams[number%100].Slots = number
		},
		"organisation": func(document *definer.Document, number int) { document.Organisations[number].RequestsPerSecond = 1 },
	}
	for kind, change := range changes {
		b.Run(kind, func(b *testing.B) {
			fleet := newFleet(b, 1, 2, 12)
			document := largeDocument()
			fleet.bootAll()
			fleet.store(1, document, true)
			fleet.waitApplied(inForceWithin, 1)
			fleet.Advance(20 * time.Second)
			total, steady := 0, 0
			meter := newMeter(b)
			fleet.onMessage = func(_ definer.VM, message messenger.Message) {
				if strings.Contains(fmt.Sprintf("%T", message), "Configuration") {
					total += meter.bytes(b, message)
				}
			}
			const length = 20 * time.Second
			fleet.Advance(length)
			steady, total = total, 0
			count := 0
			for b.Loop() {
				count++
				change(&document, 20+count)
				fleet.store(uint64(count+1), document, true)
				fleet.waitApplied(inForceWithin, uint64(count+1))
				fleet.Advance(length)
			}
			nodes := float64(len(fleet.nodes))
			quiet := float64(steady) / nodes / length.Seconds()
			each := float64(total)/nodes/float64(count) - quiet*length.Seconds()
			b.ReportMetric(each, "B/change/node")
			b.ReportMetric(quiet, "B/s/node-quiet")
			b.ReportMetric(quiet+each*1500/86400, "B/s/node-at-1500-a-day")
		})
	}
}
