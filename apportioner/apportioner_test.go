package apportioner

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

func start() time.Time { return time.Unix(1000, 0) }

// send records and judges one request of each organisation in each step, at the rates given as work
// per second, and returns the work per second that was judged to be within its share.
func send(node *Apportioner, from time.Time, span, step time.Duration, rates map[definer.OrganisationName]float64) map[definer.OrganisationName]float64 {
	within := make(map[definer.OrganisationName]float64)
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		for index := range len(rates) {
			organisation := definer.OrganisationName(fmt.Sprint("o", index))
			claim := Claim{Service: "pool", Organisation: organisation, Work: seconds(rates[organisation] * step.Seconds())}
			node.Record(from.Add(elapsed), claim)
			draw := math.Mod(float64(elapsed/step)*math.Phi+float64(index)/7, 1)
			if !node.Judge(from.Add(elapsed), claim, draw).Beyond {
				within[organisation] += claim.Work.Seconds() / span.Seconds()
			}
		}
	}
	return within
}

func drawRates(t *rapid.T, label string) (rates map[definer.OrganisationName]float64, total float64) {
	rates = make(map[definer.OrganisationName]float64)
	for index, rate := range rapid.SliceOfN(rapid.Float64Range(0.05, 30), 1, 12).Draw(t, label) {
		rates[definer.OrganisationName(fmt.Sprint("o", index))] = rate
		total += rate
	}
	return rates, total
}

// TestSharesUseUpTheCapacity guards against work that is judged to exceed its share while capacity
// is left: the shares add up to the smaller one of capacity and demand, and an organisation is
// limited only at the highest level per unit of weight.
func TestSharesUseUpTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		demands, work, used, highest := []demandOf(nil), 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 40).Draw(t, "organisations") {
			demands = append(demands, demandOf{rapid.Float64Range(0, 20).Draw(t, "work"), rapid.Float64Range(0.01, 100).Draw(t, "weight")})
		}
		level := allocate(map[int][]demandOf{1: demands}, capacity)[1]
		for _, demand := range demands {
			share := min(demand.work, demand.weight*level)
			work, used, highest = work+demand.work, used+share, max(highest, share/demand.weight)
		}
		assert.Assert(t, math.Abs(used-min(work, capacity)) < 1e-6*(1+work), "%v of %v used", used, min(work, capacity))
		assert.Assert(t, math.IsInf(level, 1) || highest <= level*(1+1e-9))
	})
}

// TestSharesConvergeWithinASecond guards against shares that lag behind a surge. Whatever the rates
// and capacities were before: one second after the rates have risen, by when the sums have reached
// 0.63 of the step, no organisation gets less than its share of the new rates, and all together get
// at most 1.4 times what is divided; after four seconds each gets its share. No organisation
// starves, the large ones included.
func TestSharesConvergeWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node, now := New(), start()
		rates, total := drawRates(t, "rates")
		node.SetCapacity(now, "pool", total*rapid.Float64Range(0.5, 2).Draw(t, "engines before"))
		send(node, now, 3*time.Second, 10*time.Millisecond, rates)
		now = now.Add(3 * time.Second)
		demands := []demandOf(nil)
		for index := range len(rates) {
			organisation := definer.OrganisationName(fmt.Sprint("o", index))
			rates[organisation] *= rapid.Float64Range(1, 12).Draw(t, "factor")
			demands = append(demands, demandOf{rates[organisation], 1})
		}
		engines := total * rapid.Float64Range(0.3, 1).Draw(t, "engines")
		node.SetCapacity(now, "pool", engines)
		send(node, now, time.Second, 10*time.Millisecond, rates)
		fair := level(demands, allocatedShare*engines)
		early := send(node, now.Add(time.Second), time.Second, time.Millisecond, rates)
		send(node, now.Add(2*time.Second), 2*time.Second, 10*time.Millisecond, rates)
		late, admitted := send(node, now.Add(4*time.Second), time.Second, time.Millisecond, rates), 0.0
		for organisation, rate := range rates {
			share, noise := min(rate, fair), 0.01*rate
			admitted += early[organisation]
			least, most := min(early[organisation], late[organisation]), late[organisation]
			assert.Assert(t, least > 0 && least >= 0.9*share-noise && most <= 1.3*share+noise,
				"%v: at least %v and in the end %v of %v are within the share of %v", organisation, least, most, rate, share)
		}
		assert.Assert(t, admitted <= 1.4*allocatedShare*engines+0.01*total*12, "%v admitted by %v engines", admitted, engines)
	})
}

// TestShareOfOneRequest guards against starvation: while a higher tier claims all the capacity, one
// request of a lower tier in each second is within its share, and an idle organisation has not
// accumulated more than that.
func TestShareOfOneRequest(t *testing.T) {
	node, now := New(), start()
	node.SetCapacity(now, "pool", 1)
	low := Claim{Service: "pool", Tier: 3, Organisation: "low", Work: 100 * time.Millisecond}
	passed := 0
	for step := range 1000 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		node.Record(at, Claim{Service: "pool", Organisation: "high", Work: 50 * time.Millisecond})
		node.Record(at, low)
		if verdict := node.Judge(at, low, math.Mod(float64(step)*math.Phi, 1)); step >= 200 && !verdict.Beyond {
			passed++
		}
	}
	assert.Assert(t, passed >= 6 && passed <= 10, "%d in 8 s", passed)
}

// TestShortageHasHysteresis guards against a shortage that begins and ends with noise in the sums:
// it begins above 0.85 of the capacity and ends below 0.75, and is logged and counted once.
func TestShortageHasHysteresis(t *testing.T) {
	var events []int
	var counts []int
	node, now := New(WithLog(func(number int, _ ...any) { events = append(events, number) }), WithShortCount(func(count int) { counts = append(counts, count) })), start()
	for _, phase := range []struct {
		rate  float64
		short bool
	}{{8.2, false}, {9, true}, {8, true}, {7.2, false}} {
		node.SetCapacity(now, "pool", 10)
		send(node, now, 8*time.Second, 10*time.Millisecond, map[definer.OrganisationName]float64{"o0": phase.rate})
		now = now.Add(8 * time.Second)
		assert.Equal(t, node.List(now)[0].Short, phase.short, "%v", phase.rate)
	}
	assert.DeepEqual(t, counts, []int{1, 0})
	assert.DeepEqual(t, events, []int{logger.EventRoomShort, logger.EventShareExceeded, logger.EventRoomShort})
}

// TestTableKeepsTheHeaviest guards against an organisation that hides among many: of 200
// organisations the heavy ones are listed with at least the work that the sketch is certain of,
// and no work is lost or counted twice.
func TestTableKeepsTheHeaviest(t *testing.T) {
	node, now := New(), start()
	for round := range 50 {
		for index := range 200 {
			node.Record(now, Claim{Service: "pool", Organisation: definer.OrganisationName(fmt.Sprint("light-", index)), Work: time.Millisecond})
		}
		node.Record(now, Claim{Service: "pool", Organisation: definer.OrganisationName(fmt.Sprint("heavy-", round%2)), Work: time.Second})
	}
	total, heavy := 0.0, 0
	report := node.Report(now)
	for _, work := range report {
		total += work.Work.Seconds()
		if strings.HasPrefix(string(work.Organisation), "heavy") && work.Work >= 24*time.Second {
			heavy++
		}
	}
	assert.Assert(t, heavy == 2 && len(report) <= messenger.MaxListedShares+1 && math.Abs(total-60) < 1e-3, "%d heavy of %d, %v", heavy, len(report), total)
}

// TestInvalidReportsAreDropped guards against values of peers that would corrupt the sums: they are
// dropped with one log line, and the valid ones of the same report count.
func TestInvalidReportsAreDropped(t *testing.T) {
	lines := 0
	node, now := New(WithLog(func(int, ...any) { lines++ })), start()
	node.SetCapacity(now, "pool", 1)
	good := messenger.OrganisationWork{Service: "pool", Organisation: "good", Work: time.Second}
	works := []messenger.OrganisationWork{
		{Service: "pool", Organisation: "negative", Work: -1},
		{Service: "pool", Organisation: "huge", Work: math.MaxInt64},
		good,
		{Service: "pool", Tier: -1, Work: 1},
		{Service: "pool", Tier: 256, Work: 1},
		{Work: 1},
		{Service: "pool", Organisation: definer.OrganisationName(strings.Repeat("x", 257)), Work: 1},
	}
	for range 10 {
		assert.DeepEqual(t, node.Replace(now, "peer", -5, works), []messenger.OrganisationWork{good})
	}
	list := node.List(now)
	assert.Assert(t, lines == 2 && len(list) == 1 && list[0].Work == time.Second, "%d lines, %v", lines, list) // The other line is about the shortage.
	node.Remove("peer")
	assert.Equal(t, len(node.peers.sums), 0)
}

// FuzzReplace guards against reports that make a node panic, or leave it with sums that are
// negative, not finite or not removed with the report.
func FuzzReplace(f *testing.F) {
	var seed bytes.Buffer
	assert.NilError(f, gob.NewEncoder(&seed).Encode([]messenger.OrganisationWork{{Service: "pool", Organisation: "a", Work: time.Second}, {Service: "pool", Tier: -2, Work: -1}}))
	f.Add(seed.Bytes(), 3, 2.5)
	f.Add([]byte("x"), -1, math.NaN())
	f.Fuzz(func(t *testing.T, data []byte, nodes int, engines float64) {
		var works []messenger.OrganisationWork
		_ = gob.NewDecoder(bytes.NewReader(data)).Decode(&works) // What was decoded before a fault is used.
		node, now := New(), start()
		node.SetNodes(nodes)
		node.SetCapacity(now, "pool", engines)
		for range 2 {
			node.Replace(now, "peer", nodes, works)
		}
		verdict := node.Judge(now, Claim{Service: "pool", Organisation: "a", Work: time.Millisecond}, 0.5)
		assert.Assert(t, verdict.Work >= 0 && verdict.Share >= 0)
		for _, share := range node.List(now) {
			assert.Assert(t, share.Work >= 0 && share.Share >= 0 && share.Utilisation >= 0)
		}
		node.Remove("peer")
		assert.Assert(t, len(node.peers.sums) == 0 && node.peers.nodes == 0)
	})
}

// TestReportsOfPeersExpire guards against sums that keep the work of a node which has ended, also
// at a node that has no requests of its own, and against services that are kept for ever.
func TestReportsOfPeersExpire(t *testing.T) {
	node, now := New(), start()
	node.SetCapacity(now, "unused", 1)
	node.Replace(now, "peer", 1, []messenger.OrganisationWork{{Service: "pool", Organisation: "a", Work: time.Second}})
	node.Report(now.Add(reportLifetime))
	assert.Equal(t, len(node.peers.sums), 1)
	node.Report(now.Add(2 * serviceLifetime))
	assert.Assert(t, len(node.peers.sums) == 0 && node.peers.nodes == 0 && len(node.services) == 0)
}
