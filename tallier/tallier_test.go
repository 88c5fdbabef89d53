package tallier_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/tallier"
)

// width is the width of a window.
const width = 5 * time.Second

func member(number int) definer.Member {
	return definer.Member{VM: definer.VM(fmt.Sprintf("n%03d", number)), Incarnation: definer.Incarnation(number + 1)}
}

// TestReportsMayBeLostRepeatedAndLate draws requests and reports, which pass through two
// nodes and may be lost, repeated or reordered. It checks that the last node never knows
// more requests than were counted, and knows all of them once reports get through.
func TestReportsMayBeLostRepeatedAndLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		counters := []*tallier.Tallier{tallier.New(member(0), width), tallier.New(member(1), width), tallier.New(member(2), width)}
		between := []*tallier.Tallier{tallier.New(member(10), width), tallier.New(member(11), width)}
		last := tallier.New(member(20), width)
		truth := make(map[tallier.Window]map[definer.OrganisationName]uint64)
		type late struct {
			to     *tallier.Tallier
			from   definer.Member
			report *messenger.UsageReport
		}
		var waiting []late
		tell := func(from *tallier.Tallier, self definer.Member, to *tallier.Tallier, vm definer.VM) {
			report := from.NextReport(now, vm)
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0: // The report is lost.
			case 1:
				waiting = append(waiting, late{to, self, report})
			case 2:
				to.Merge(now, self, report)
				to.Merge(now, self, report)
			default:
				to.Merge(now, self, report)
			}
		}
		check := func(whole bool) {
			for window, counts := range truth {
				usage := last.Usage(now, window)
				for organisation, began := range counts {
					assert.Assert(t, usage.Requests[organisation] <= began)
					assert.Assert(t, !whole || usage.Requests[organisation] == began, "window %d: %d of %d of %s", window, usage.Requests[organisation], began, organisation)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "passes")) * time.Millisecond)
			counter := rapid.IntRange(0, 2).Draw(t, "counter")
			organisation := definer.OrganisationName(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")))
			counters[counter].Count(now, organisation)
			window := counters[counter].WindowAt(now)
			if truth[window] == nil {
				truth[window] = make(map[definer.OrganisationName]uint64)
			}
			truth[window][organisation]++
			over := rapid.IntRange(0, 1).Draw(t, "over")
			tell(counters[counter], member(counter), between[over], member(10+over).VM)
			tell(between[over], member(10+over), last, member(20).VM)
			if len(waiting) > 0 && rapid.Bool().Draw(t, "arrives") {
				waiting[0].to.Merge(now, waiting[0].from, waiting[0].report)
				waiting = waiting[1:]
			}
			check(false)
		}
		for range 8 {
			for number, counter := range counters {
				for over, node := range between {
					node.Merge(now, member(number), counter.NextReport(now, member(10+over).VM))
				}
			}
			for over, node := range between {
				last.Merge(now, member(10+over), node.NextReport(now, member(20).VM))
			}
		}
		for window := range truth {
			if window+2 < last.WindowAt(now) {
				delete(truth, window) // Lost counts of older windows are not sent again.
			}
		}
		check(true)
	})
}

// TestWholeAndLost checks that a window is complete once every running process has
// reported beyond its end, and that processes which ended earlier count as lost.
func TestWholeAndLost(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	node, other := tallier.New(member(0), width), tallier.New(member(1), width)
	window := node.WindowAt(now)
	node.Merge(now.Add(width-time.Second), member(1), other.NextReport(now.Add(width-time.Second), "n000"))
	usage := node.Usage(now.Add(width+500*time.Millisecond), window)
	assert.Equal(t, usage.Running, 2)
	assert.Equal(t, usage.Complete, 1)
	assert.Equal(t, usage.Lost, 0)
	usage = node.Usage(now.Add(width+3*time.Second), window)
	assert.Equal(t, usage.Running, 1)
	assert.Equal(t, usage.Lost, 1)
	node.Merge(now.Add(width+4*time.Second), member(1), other.NextReport(now.Add(width+4*time.Second), "n000"))
	usage = node.Usage(now.Add(width+4*time.Second), window)
	assert.Equal(t, usage.Complete, 2)
	assert.Equal(t, usage.Lost, 0)
}

// TestOldWindowsAreForgotten checks that the counts of old windows are removed, which
// bounds the memory used.
func TestOldWindowsAreForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	node := tallier.New(member(0), width)
	node.Count(now, "guild")
	window := node.WindowAt(now)
	assert.Equal(t, node.Usage(now.Add(time.Minute), window).Requests["guild"], uint64(1))
	assert.Equal(t, len(node.Usage(now.Add(5*time.Minute), window).Requests), 0)
}

// FuzzTake checks that no report makes a node panic or adds organisations that it does
// not name.
func FuzzTake(f *testing.F) {
	f.Add(uint64(360_000_000), 0, 1, uint64(3), int64(1_800_000_000))
	f.Add(uint64(1)<<63, -1, 9, uint64(1), int64(-1))
	f.Fuzz(func(t *testing.T, window uint64, place, more int, requests uint64, until int64) {
		now := time.Unix(1_800_000_000, 0)
		node := tallier.New(member(0), width)
		node.Merge(now, member(1), &messenger.UsageReport{
			Organisations: []definer.OrganisationName{"guild"},
			Processes: []messenger.ProcessUsage{{Member: member(1), Until: time.Duration(until), Windows: []messenger.WindowUsage{
				{Window: window, Organisations: []int{place, more}, Requests: []uint64{requests, requests}},
				{Window: window, Organisations: []int{place}, Requests: nil},
			}}},
		})
		assert.Assert(t, len(node.Usage(now, node.WindowAt(now)).Requests) <= 1)
	})
}

// BenchmarkLargeDeployment measures the work of the first node among 390 with 1,900
// organisations and 2,100 requests a second: merging the reports of 25 aggregators in one
// interval, and computing the usage of a window.
func BenchmarkLargeDeployment(b *testing.B) {
	const nodes, organisations, perSecond = 390, 1900, 2100
	now := time.Unix(1_800_000_000, 0)
	first := tallier.New(member(0), width)
	var reports []*messenger.UsageReport
	var aggregators []*tallier.Tallier
	for group := range nodes / 15 {
		aggregators = append(aggregators, tallier.New(member(group*15+1), width))
	}
	for request := range perSecond * int(width.Seconds()) {
		number := 1 + request%(nodes-1)
		counter := aggregators[(number/15)%len(aggregators)]
		counter.Count(now, definer.OrganisationName(fmt.Sprintf("organisation-%d", (request*7919)%organisations)))
	}
	for _, aggregator := range aggregators {
		reports = append(reports, aggregator.NextReport(now, "n000"))
	}
	b.ResetTimer()
	for b.Loop() {
		for index, report := range reports {
			first.Merge(now, member(index*15+1), report)
		}
		first.Usage(now, first.WindowAt(now))
	}
}

// TestCompleteOnlyWithoutGaps checks that the counts of a process are not taken for complete by a
// node that lacks earlier ones, because it has just started or because a report was lost. A
// restarted node that was sent changes only would otherwise settle a window with the few counts
// that changed since.
func TestCompleteOnlyWithoutGaps(t *testing.T) {
	for _, test := range []string{"receiver restarts", "report is lost"} {
		t.Run(test, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
			sender, receiver := definer.Member{VM: "a", Incarnation: 1}, definer.Member{VM: "b", Incarnation: 1}
			source, target := tallier.New(sender, 5*time.Second), tallier.New(receiver, 5*time.Second)
			window := source.WindowAt(start)
			target.Merge(at(0), sender, source.NextReport(at(0), "b"))
			for range 9 {
				source.Count(at(100), "guild")
			}
			report := source.NextReport(at(4000), "b")
			if test == "receiver restarts" {
				target.Merge(at(4000), sender, report)
				receiver.Incarnation++
				target = tallier.New(receiver, 5*time.Second)
			}
			source.Count(at(4500), "other")
			for millis := 5100; millis <= 5900; millis += 400 {
				target.Merge(at(millis), sender, source.NextReport(at(millis), "b"))
				usage := target.Usage(at(millis), window)
				assert.Equal(t, usage.Running, 2)
				assert.Assert(t, usage.Complete == 1 || usage.Requests["guild"] == 9, "complete at %d ms with %v", millis, usage.Requests)
			}
			usage := target.Usage(at(5900), window)
			assert.Equal(t, usage.Complete, 2)
			assert.Equal(t, usage.Requests["guild"], uint64(9))
		})
	}
}

// TestRestartedReceiverIsSentAllCounts checks that a new process of a node is sent all windows once
// it has been heard of, also those that full reports do not contain.
func TestRestartedReceiverIsSentAllCounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	source := tallier.New(member(0), width)
	receiver := definer.Member{VM: "b", Incarnation: 1}
	window := source.WindowAt(now)
	source.Count(now, "guild")
	source.RecordPeer(receiver)
	source.NextReport(now, receiver.VM)
	now = now.Add(10 * width)
	receiver.Incarnation++
	source.RecordPeer(receiver)
	source.RecordPeer(definer.Member{VM: receiver.VM, Incarnation: 1}) // A late message of the earlier process.
	target := tallier.New(receiver, width)
	target.Merge(now, member(0), source.NextReport(now, receiver.VM))
	assert.Equal(t, target.Usage(now, window).Requests["guild"], uint64(1))
}

// TestCountsOfNewMembersArePassedOn checks that an aggregator passes on the counts of a process that
// it knew through another node before the process reported to it.
func TestCountsOfNewMembersArePassedOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	source, between, last := tallier.New(member(0), width), tallier.New(member(1), width), tallier.New(member(2), width)
	source.Count(now, "guild")
	between.Merge(now, member(3), source.NextReport(now, "n003"))
	last.Merge(now, member(1), between.NextReport(now, "n002"))
	between.Merge(now, member(0), source.NextReport(now, "n001"))
	last.Merge(now, member(1), between.NextReport(now, "n002"))
	assert.Equal(t, last.Usage(now, last.WindowAt(now)).Requests["guild"], uint64(1))
}

// Guards against a process with a clock that was set back, which is sent the changes since the reports to the process
// before it and takes them for all counts.
func TestReceiverWithAClockThatWasSetBackIsSentAllCounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	source := tallier.New(member(0), width)
	receiver := definer.Member{VM: "b", Incarnation: 2}
	window := source.WindowAt(now)
	source.Count(now, "guild")
	source.NextReport(now, receiver.VM)
	source.RecordPeer(receiver)
	source.NextReport(now, receiver.VM)
	now = now.Add(10 * width)
	receiver.Incarnation--
	source.RecordPeer(receiver)
	target := tallier.New(receiver, width)
	target.Merge(now, member(0), source.NextReport(now, receiver.VM))
	assert.Equal(t, target.Usage(now, window).Requests["guild"], uint64(1))
}

// Guards against windows that count as complete although the reports with their counts were lost, at the receiver and
// at those it passes the counts on to.
func TestCountsOfALongLossAreNotComplete(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	source, target, last := tallier.New(member(0), width), tallier.New(member(1), width), tallier.New(member(2), width)
	lost := source.WindowAt(start)
	target.Merge(start, member(0), source.NextReport(start, member(1).VM))
	source.Count(start, "guild")
	now := start
	for ; now.Before(start.Add(6 * width)); now = now.Add(width / 10) {
		source.NextReport(now, member(1).VM)
	}
	counted := source.WindowAt(now)
	source.Count(now, "guild")
	for ; now.Before(start.Add(8 * width)); now = now.Add(width / 10) {
		target.Merge(now, member(0), source.NextReport(now, member(1).VM))
		last.Merge(now, member(1), target.NextReport(now, member(2).VM))
	}
	for node, running := range map[*tallier.Tallier]int{target: 2, last: 3} {
		usage := node.Usage(now, lost)
		assert.Equal(t, usage.Running, running)
		assert.Equal(t, usage.Complete, running-1, "the counts of the loss are missing: %v", usage.Requests)
		usage = node.Usage(now, counted)
		assert.Equal(t, usage.Complete, running)
		assert.Equal(t, usage.Requests["guild"], uint64(1))
	}
}
