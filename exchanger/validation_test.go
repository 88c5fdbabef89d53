package exchanger

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// TestImpossibleLoadsAreDropped guards against a peer whose faulty report misleads the choices or
// floods the log: what is possible in the report is applied, and one line a second counts the rest.
func TestImpossibleLoadsAreDropped(t *testing.T) {
	var rejected []int
	exchange := New(Peer{VM: "self"}, selector.New("west"), silentSender{}, WithLog(func(number int, pairs ...any) {
		if number == logger.EventLoadRejected {
			rejected = append(rejected, pairs[3].(int))
		}
	}))
	long := definer.UpstreamName(make([]byte, 257))
	loads := []messenger.UpstreamLoad{{Upstream: "good", InFlight: 1}, {InFlight: -1}, {Tokens: -1}, {Unread: -1}, {Deferred: -1}, {Streams: -1}, {ExpectedMs: -1}, {ActualMs: -1}, {ExpectedMs: 3_600_001}, {ActualMs: 3_600_001}, {Heard: -1}, {Upstream: long}, {InFlight: math.MaxInt}}
	kinds := []messenger.KindWork{{Rule: "good", Work: time.Second, Requests: 1}, {Work: -1}, {Reading: -1}, {GapObjective: -1}, {PromptTokens: math.NaN()}, {PromptTokens: math.Inf(1)}, {Requests: math.NaN()}, {Requests: math.Inf(-1)}, {Service: definer.PoolName(long)}, {Rule: string(long)}, {Work: math.MaxInt64}}
	report := &messenger.LoadReport{Nodes: -1, Loads: loads, Kinds: kinds}
	now := time.Now()
	for _, after := range []time.Duration{0, time.Millisecond, 999 * time.Millisecond, time.Second} {
		exchange.receive(now.Add(after), definer.Member{VM: "peer"}, report)
	}
	assert.DeepEqual(t, rejected, []int{23, 3 * 23})
	kept := exchange.memberReports["peer"].report
	assert.DeepEqual(t, kept.Loads, loads[:1])
	assert.DeepEqual(t, kept.Kinds, kinds[:1])
	assert.Equal(t, kept.Nodes, 0)
}

// FuzzReports guards against reports that make a choice panic, hang or expect a negative time.
func FuzzReports(f *testing.F) {
	f.Add(1, 3, 4000, 900, 0, 2, 400, 900, int64(time.Millisecond), int64(time.Second), 20_000.0, 20.0, 1, 10)
	f.Add(-1, math.MaxInt, math.MinInt, math.MaxInt, -1, math.MaxInt, math.MaxInt, -1, int64(math.MinInt64), int64(math.MaxInt64), math.NaN(), math.Inf(1), -1, 986)
	f.Add(1, 1_000_000, 1_000_000_000, 1_000_000_000, 1_000_000_000, 1_000_000, 3_600_000, 3_600_000, int64(0), int64(100*time.Hour), 1e15, 1e-300, 0, 100_000)
	f.Add(0, 0, 0, 50_000, 0, 0, 0, 1, int64(0), int64(0), 1.0, 0.0, 0, 0)
	f.Fuzz(func(t *testing.T, nodes, inFlight, tokens, unread, deferred, streams, expectedMs, actualMs int, heard, work int64, prompts, requests float64, tier, peers int) {
		now, choice := time.Unix(1000, 0), selector.New("west")
		exchange := New(Peer{VM: "self"}, choice, silentSender{})
		for index := range min(max(peers, 0), 20) {
			exchange.addPeer(Peer{VM: definer.VM(rune('a' + index))})
		}
		load := messenger.UpstreamLoad{Upstream: "u0", InFlight: inFlight, Tokens: tokens, Unread: unread, Deferred: deferred, Streams: streams, ExpectedMs: expectedMs, ActualMs: actualMs, Heard: time.Duration(heard), HasHeard: true}
		kind := messenger.KindWork{Service: "pool", Rule: "chat", Tier: tier, Work: time.Duration(work), Reading: time.Duration(work / 2), GapObjective: time.Duration(heard), PromptTokens: prompts, Requests: requests}
		other := kind
		other.Rule, other.PromptTokens = "digest", 100*prompts
		list := []*registrar.Upstream{{ID: "u0", Service: "pool", Slots: 8}, {ID: "u1", Service: "pool"}, {ID: "u2", Service: "pool", Slots: 1}}
		for step, reported := range [][]messenger.UpstreamLoad{{load}, {load, load}, {{Upstream: "u0", InFlight: 1}}, {load}} {
			report := &messenger.LoadReport{Nodes: nodes, Loads: reported, Kinds: []messenger.KindWork{kind, other}}
			exchange.receive(now, definer.Member{VM: definer.VM(rune('a' + step%2))}, report)
			for _, engine := range []bool{true, false} {
				demand := &selector.Demand{Service: "pool", Rule: "chat", Candidates: list, Engine: engine, PromptTokens: 400, Objective: time.Second, GapObjective: time.Second, TimeLeft: time.Minute, Draw: 0.5, Deferrable: step == 2}
				assignment, err := choice.Choose(now, demand)
				if err != nil {
					continue // The engines may be saturated.
				}
				assert.Assert(t, assignment.ExpectedFirstEvent() >= 0 && assignment.ExpectedPause() >= 0, "%v %v", assignment.ExpectedFirstEvent(), assignment.ExpectedPause())
				assignment.RecordFirstEvent(now.Add(time.Millisecond))
				assignment.End(now.Add(time.Second), selector.Answered)
			}
			now = now.Add(300 * time.Millisecond)
		}
	})
}
