package corroborator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const ms = time.Millisecond

func start(number int) definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("i-%d", number)), Incarnation: 1_800_000_000_000_000_000}
}

func evidence(number int, witness definer.VM, kind messenger.EvidenceKind, age time.Duration) messenger.UpstreamEvidence {
	return messenger.UpstreamEvidence{Upstream: start(number).Upstream, Incarnation: start(number).Incarnation, Kind: kind, Witness: witness, Age: age}
}

func report(items ...messenger.UpstreamEvidence) *messenger.LoadReport {
	return &messenger.LoadReport{Scope: messenger.FleetLoad, Evidence: items}
}

func presumed(corroborator *corroborator.Corroborator, now time.Time) bool {
	_, lost := corroborator.Presumed(now, start(1))
	return lost
}

// TestRules checks when a presumption begins and ends. It guards against one node's faulty view
// keeping others from an upstream, and against evidence that outlives its upstream's return.
func TestRules(t *testing.T) {
	base := time.Unix(1000, 0)
	const refused, replaced, alive = messenger.EvidenceRefused, messenger.EvidenceReplaced, messenger.EvidenceAlive
	both := []step{{0, "b", refused, 0}, {0, "c", refused, 0}}
	for _, rule := range []struct {
		name  string
		steps []step
		lost  bool
	}{
		{"one witness of a peer", []step{{0, "b", refused, 0}, {300 * ms, "b", refused, 0}}, false},
		{"own evidence alone", []step{{0, "own", refused, 0}, {300 * ms, "own", refused, 0}}, false},
		{"own evidence returned by a peer", []step{{0, "own", refused, 0}, {0, "a", refused, 0}}, false},
		{"two witnesses", []step{{0, "own", refused, 0}, {300 * ms, "c", replaced, 10 * ms}}, true},
		{"two witnesses, one too old", []step{{300 * ms, "b", refused, 0}, {300 * ms, "c", refused, time.Second}}, false},
		{"a later own sign of life", append(both, step{150 * ms, "own", alive, 0}), false},
		{"an own sign of life that is later than evidence in transit", []step{{150 * ms, "own", alive, 0}, {200 * ms, "b", refused, 180 * ms}, {200 * ms, "c", refused, 180 * ms}}, false},
		{"an earlier sign of life", append([]step{{-10 * ms, "own", alive, 0}}, both...), true},
		{"a later sign of life in the load of a peer", append(both, step{300 * ms, "load", alive, 50 * ms}), false},
		{"a sign of life with a negative age", append(both, step{0, "load", alive, -time.Hour}), true},
		{"a later sign of life as evidence", append(both, step{300 * ms, "d", alive, 50 * ms}), false},
	} {
		t.Run(rule.name, func(t *testing.T) {
			self := corroborator.New("a")
			for _, step := range rule.steps {
				step.play(self, base.Add(step.at))
			}
			assert.Equal(t, presumed(self, base.Add(350*ms)), rule.lost)
			_, other := self.Presumed(base.Add(350*ms), definer.UpstreamStart{Upstream: start(1).Upstream, Incarnation: start(1).Incarnation + 1})
			assert.Assert(t, !other, "another incarnation is not lost")
			assert.Assert(t, !presumed(self, base.Add(1400*ms)), "without further evidence it has to expire")
		})
	}
}

// step is one observation that a table gets: its own, of a peer's load or of a witness.
type step struct {
	at      time.Duration
	witness definer.VM
	kind    messenger.EvidenceKind
	age     time.Duration
}

func (step step) play(self *corroborator.Corroborator, now time.Time) {
	switch {
	case step.witness == "own" && step.kind == messenger.EvidenceAlive:
		self.RecordSignOfLife(now, start(1))
	case step.witness == "own":
		self.RecordFailure(now, start(1), step.kind)
	case step.witness == "load":
		self.Learn(now, "b", &messenger.LoadReport{Loads: []messenger.UpstreamLoad{{Upstream: start(1).Upstream, Incarnation: start(1).Incarnation, HasHeard: true, Heard: step.age}}})
	default:
		self.Learn(now, "b", report(evidence(1, step.witness, step.kind, step.age)))
	}
}

// TestInvalidEvidenceIsCounted guards against items of a faulty peer that change anything.
func TestInvalidEvidenceIsCounted(t *testing.T) {
	invalid, long := 0, strings.Repeat("x", 257)
	self := corroborator.New("a", corroborator.WithRejections(func(_ definer.VM, count int) { invalid += count }))
	items := []messenger.UpstreamEvidence{
		evidence(1, "", messenger.EvidenceRefused, 0), evidence(1, definer.VM(long), messenger.EvidenceRefused, 0),
		evidence(1, "b", 0, 0), evidence(1, "b", 5, 0), evidence(1, "b", messenger.EvidenceRefused, -1),
		evidence(1, "b", messenger.EvidenceRefused, 2*time.Hour),
		{Kind: messenger.EvidenceRefused, Witness: "b"},
		{Upstream: definer.UpstreamName(long), Kind: messenger.EvidenceRefused, Witness: "b"},
	}
	self.Learn(time.Unix(1000, 0), "b", report(items...))
	assert.Equal(t, invalid, len(items))
	assert.Equal(t, len(self.List(time.Unix(1000, 0))), 0)
}

// TestReportsAreRepeatedTwice checks that evidence survives the loss of one report, and is then no
// longer sent; evidence from other groups goes to members only, so that it does not circulate.
func TestReportsAreRepeatedTwice(t *testing.T) {
	base := time.Unix(1000, 0)
	self := corroborator.New("a")
	self.RecordFailure(base, start(1), messenger.EvidenceReset)
	self.Learn(base, "b", &messenger.LoadReport{Scope: messenger.GroupLoad, Evidence: []messenger.UpstreamEvidence{evidence(2, "b", messenger.EvidenceRefused, 0)}})
	for count, sizes := range [][3]int{{1, 1, 2}, {1, 1, 2}, {0, 0, 0}} {
		now := base.Add(time.Duration(count) * 100 * ms)
		for index, scope := range []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad} {
			assert.Equal(t, len(self.NextReport(now, scope)), sizes[index], "report %d, scope %d", count, scope)
		}
	}
}

// TestProbesTakeTurns checks on one loss with eight nodes that exchange everything at once that one
// node probes at a time, at intervals that double up to 4 s, that another one follows if a node has no
// request, and that a node which repeats its evidence all the time does not postpone the probes.
func TestProbesTakeTurns(t *testing.T) {
	base := time.Unix(1000, 0)
	nodes, turns := make(map[definer.VM]*corroborator.Corroborator), make(map[definer.VM]time.Time)
	var vms []definer.VM
	for number := range 8 {
		vms = append(vms, definer.VM(fmt.Sprintf("entry-%d", number)))
	}
	for _, vm := range vms {
		nodes[vm] = corroborator.New(vm, corroborator.WithProbes(func(_ definer.UpstreamStart, from, _ time.Time) { turns[vm] = from }))
		nodes[vm].SetNodes(vms)
		nodes[vm].Learn(base, "entry-0", report(evidence(1, "x", messenger.EvidenceRefused, 0), evidence(1, "y", messenger.EvidenceRefused, 0)))
	}
	var at []time.Duration
	var by []definer.VM
	for now := base; now.Before(base.Add(16 * time.Second)); now = now.Add(50 * ms) {
		for _, vm := range vms {
			nodes[vm].Learn(now, "x", report(evidence(1, "x", messenger.EvidenceRefused, 0)))
			nodes[vm].NextReport(now, messenger.MemberLoad)
		}
		for _, vm := range vms {
			// entry-3 never has a request for its turn.
			if from, ok := turns[vm]; !ok || vm == "entry-3" || now.Before(from) {
				continue
			}
			clear(turns)
			at, by = append(at, now.Sub(base)), append(by, vm)
			nodes[vm].RecordFailure(now, start(1), messenger.EvidenceRefused)
			for _, node := range nodes {
				node.Learn(now.Add(ms), "entry-0", report(evidence(1, vm, messenger.EvidenceRefused, 0)))
			}
			assert.Assert(t, presumed(nodes[vm], now.Add(time.Second)))
		}
	}
	assert.Assert(t, len(at) >= 5, "%v", at)
	for index := 1; index < len(at); index++ {
		gap, want := at[index]-at[index-1], min(at[index-1]+500*ms, 4*time.Second)
		assert.Assert(t, gap >= want && gap <= want+200*ms, "%v", at)
		assert.Assert(t, by[index] != by[index-1], "%v", by)
	}
}

// TestProperties checks on random evidence that a presumption begins only with two witnesses in the
// last second, that a later sign of life ends it, that without confirmation it ends in a second,
// and that reports stay bounded.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		self := corroborator.New("w0", corroborator.WithChanges(func(now time.Time, change corroborator.Change) {
			if !change.Begins {
				return
			}
			if len(change.Witnesses) != 2 || change.Witnesses[0].VM == change.Witnesses[1].VM || now.Sub(change.Witnesses[1].At) >= time.Second {
				t.Fatalf("began with %v", change.Witnesses)
			}
		}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "gap")) * ms)
			number, age := rapid.IntRange(1, 3).Draw(t, "upstream"), time.Duration(rapid.IntRange(0, 1200).Draw(t, "age"))*ms
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				self.RecordFailure(now, start(number), messenger.EvidenceRefused)
			case 1:
				witness := definer.VM(fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "witness")))
				kind := messenger.EvidenceKind(rapid.IntRange(1, 4).Draw(t, "kind"))
				scoped := report(evidence(number, witness, kind, age))
				scoped.Scope = messenger.LoadScope(rapid.IntRange(0, 3).Draw(t, "scope"))
				self.Learn(now, "b", scoped)
			case 2:
				scope := messenger.LoadScope(rapid.IntRange(0, 3).Draw(t, "scope"))
				for _, item := range self.NextReport(now, scope) {
					if item.Age < 0 || item.Age >= time.Second || item.Witness == "" {
						t.Fatalf("reported %v", item)
					}
				}
			case 3:
				self.RecordSignOfLife(now.Add(100*ms), start(number))
				if _, lost := self.Presumed(now, start(number)); lost {
					t.Fatalf("lost after a sign of life")
				}
			}
			for _, entry := range self.List(now) {
				unconfirmed := len(entry.Witnesses) == 2 && entry.Witnesses[0].At.Sub(entry.Since) < 400*ms
				if entry.Presumed && unconfirmed && now.Sub(entry.Witnesses[1].At) >= time.Second {
					t.Fatalf("not confirmed and not expired: %v", entry)
				}
			}
		}
	})
}

// FuzzLearn checks that no report of a peer makes the table invalid or lasting.
func FuzzLearn(f *testing.F) {
	f.Add("i-1", uint64(7), 1, "b", int64(5), int64(3), 2)
	f.Add("", uint64(0), -1, "", int64(-5), int64(-1<<63), 9)
	f.Fuzz(func(t *testing.T, upstream string, incarnation uint64, kind int, witness string, age, heard int64, scope int) {
		now := time.Unix(1000, 0)
		self := corroborator.New("a")
		item := messenger.UpstreamEvidence{Upstream: definer.UpstreamName(upstream), Incarnation: definer.Incarnation(incarnation), Kind: messenger.EvidenceKind(kind), Witness: definer.VM(witness), Age: time.Duration(age)}
		other := item
		other.Witness += "2"
		self.Learn(now, "b", &messenger.LoadReport{Scope: messenger.LoadScope(scope), Evidence: []messenger.UpstreamEvidence{item, other}, Loads: []messenger.UpstreamLoad{{Upstream: item.Upstream, Incarnation: item.Incarnation, HasHeard: true, Heard: time.Duration(heard)}}})
		for _, reported := range self.NextReport(now, messenger.FleetLoad) {
			assert.Assert(t, reported.Age >= 0 && len(reported.Upstream) <= 256 && len(reported.Witness) <= 257)
		}
		now = now.Add(2 * time.Second)
		self.NextReport(now, messenger.MemberLoad)
		assert.Equal(t, len(self.List(now)), 0)
	})
}
