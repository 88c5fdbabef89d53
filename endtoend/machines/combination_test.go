package machines_test

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// combinationsVariable names the environment variable that lists the combinations to be run; without it, the
// usual one is.
const combinationsVariable = "LIMPETCLEAT_TEST_COMBINATIONS"

// usualCombination is the one that is run if none is listed.
const usualCombination = "crowded"

// discoveryTime is the time in which all nodes that have started learn of each other.
const discoveryTime = 2 * time.Second

// logDelay is the time in which nodes write what they have not logged yet.
const logDelay = 2 * time.Second

// balancerDetection is the longest time until the load balancer treats a stopping node as not ready.
const balancerDetection = 2500 * time.Millisecond

// thinVM is the hardware of the thinnest VMs of a deployment.
func thinVM() tester.Hardware {
	return tester.Hardware{MemoryMB: 144, Descriptors: 3075, LinkMbps: 10, ProcessorShare: 0.144}
}

// combination is traffic and what happens meanwhile.
type combination struct {
	hardware tester.Hardware
	nodes    int
	streams  tester.StreamLoad
	// long replaces the second kind of streams; its requests have large bodies and may not be repeated.
	long tester.StreamLoad
	// plain is traffic to services that accept few connections.
	plain     tester.StreamLoad
	engines   int
	readPause time.Duration
	// timeout bounds each stream.
	timeout time.Duration
	// rules is the number of rules of a configuration, interval the time between versions; 0 for one only.
	rules    int
	interval time.Duration
	compact  bool
	// stops is the number of planned stops, suspended how many nodes are suspended for how long.
	stops      int
	suspended  int
	suspension time.Duration
}

// usualLoad returns the traffic of a few VMs without any trouble.
func usualLoad(span time.Duration) combination {
	return combination{
		hardware: thinVM(), nodes: 8, engines: 6, rules: 20, timeout: 10 * time.Second,
		streams: tester.StreamLoad{Path: "/clause/", PerSecond: 24, Span: span, BodyBytes: 830, LargeBodyBytes: 5000, Events: 49, FirstShare: 0.125},
		long:    tester.StreamLoad{Path: "/draft/", PerSecond: 16, Span: span, BodyBytes: 9200, LargeBodyBytes: 55000, Events: 49, FirstShare: 0.125},
		plain:   tester.StreamLoad{Path: "/plain/", PerSecond: 16, Span: span, BodyBytes: 600, FirstShare: 0.125},
	}
}

// crowdedNode returns a combination in which one node gets far more requests than it has processor time for.
func crowdedNode() combination {
	const span = 6 * time.Second
	crowded := usualLoad(span)
	crowded.nodes, crowded.engines, crowded.timeout = 4, 12, 8*time.Second
	crowded.streams.PerSecond, crowded.streams.FirstShare = 200, 1
	crowded.long.PerSecond, crowded.long.FirstShare = 100, 1
	return crowded
}

// combinations returns all combinations by their names.
func combinations() map[string]combination {
	const span = 12 * time.Second
	all := map[string]combination{"usual": usualLoad(span), usualCombination: crowdedNode()}
	versions := usualLoad(span)
	versions.rules, versions.interval = 1200, 330*time.Millisecond
	all["versions"] = versions
	compacted := versions
	compacted.compact = true
	all["compacted"] = compacted
	slow := versions
	slow.streams.SlowShare, slow.streams.ReadPause = 0.5, 100*time.Millisecond
	slow.long.SlowShare, slow.long.ReadPause = 0.5, 100*time.Millisecond
	slow.readPause = 40 * time.Millisecond
	all["slow"] = slow
	uneven := versions
	uneven.streams.PerSecond, uneven.streams.FirstShare = 40, 0.7
	uneven.long.PerSecond, uneven.long.FirstShare = 30, 0.7
	all["uneven"] = uneven
	unevenSlow := uneven
	unevenSlow.streams.SlowShare, unevenSlow.streams.ReadPause = 0.5, 100*time.Millisecond
	unevenSlow.long.SlowShare, unevenSlow.long.ReadPause = 0.5, 100*time.Millisecond
	unevenSlow.readPause = 40 * time.Millisecond
	all["unevenSlow"] = unevenSlow
	stops := compacted
	stops.stops = 2
	all["stops"] = stops
	suspended := compacted
	suspended.suspended, suspended.suspension = 2, 2500*time.Millisecond
	all["suspended"] = suspended
	everything := unevenSlow
	everything.compact, everything.stops, everything.suspended, everything.suspension = true, 1, 2, 2500*time.Millisecond
	all["everything"] = everything
	heavy := versions
	heavy.streams.PerSecond, heavy.streams.FirstShare = 100, 0.9
	heavy.long.PerSecond, heavy.long.FirstShare = 30, 0.9
	heavy.engines = 12
	all["heavy"] = heavy
	heavySlow := heavy
	heavySlow.streams.SlowShare, heavySlow.streams.ReadPause = 0.5, 100*time.Millisecond
	heavySlow.long.SlowShare, heavySlow.long.ReadPause = 0.5, 100*time.Millisecond
	heavySlow.readPause = 40 * time.Millisecond
	all["heavySlow"] = heavySlow
	crowd := heavy
	crowd.streams.PerSecond, crowd.streams.FirstShare = 200, 1
	crowd.long.PerSecond, crowd.long.FirstShare = 100, 1
	crowd.nodes = 4
	all["crowd"] = crowd
	calmCrowd := crowd
	calmCrowd.interval = 0
	all["crowdCalm"] = calmCrowd
	calm := heavy
	calm.interval = 0
	all["heavyCalm"] = calm
	large := heavy
	large.rules = 2400
	all["heavyLarge"] = large
	for _, name := range []string{"versions", "uneven", "unevenSlow", "everything", "usual", "heavy", "heavySlow", "heavyLarge"} {
		free := all[name]
		free.hardware.ProcessorShare = 0
		all[name+"Quick"] = free
	}
	return all
}

// TestThinMachines runs combinations of troubles on VMs with little memory, processor time and bandwidth.
//
// It guards against answers that are cut off, processes that end by themselves and VMs that are given more
// than they have room for.
func TestThinMachines(t *testing.T) {
	names := usualCombination
	if listed := os.Getenv(combinationsVariable); listed != "" {
		names = listed
	}
	all := combinations()
	for _, name := range strings.Split(names, ",") {
		combination, found := all[name]
		assert.Assert(t, found, "%s is not one of %v", name, slices.Sorted(maps.Keys(all)))
		t.Run(name, func(t *testing.T) { combination.play(t) })
	}
}

// play runs the combination.
func (combination combination) play(t *testing.T) {
	site := tester.NewSite(tester.NewFleet(t))
	site.ServiceFields = map[string]any{"max_connections": 590}
	combination.configure(site)
	var engines []*tester.StreamingUpstream
	for number := range combination.engines {
		upstream := &tester.StreamingUpstream{Name: fmt.Sprintf("engine-%d", number), Events: 49, Interval: 50 * time.Millisecond, First: 200 * time.Millisecond, EventBytes: 60, ReadPause: combination.readPause}
		upstream.Start(site, map[string]any{"slots": 32})
		engines = append(engines, upstream)
	}
	var machines []*tester.Machine
	for number := range combination.nodes {
		machines = append(machines, site.StartMachine(fmt.Sprintf("machine-%d", number), combination.hardware))
	}
	for _, machine := range machines {
		machine.AwaitReady()
	}
	<-time.After(discoveryTime)
	done := make(chan struct{})
	var background conc.WaitGroup
	peaks := newPeaks()
	background.Go(func() { peaks.watch(machines, done) })
	background.Go(func() { combination.disturb(site, machines, done) })
	loads := []tester.StreamLoad{combination.streams, combination.long, combination.plain}
	results := make([][]tester.StreamResult, len(loads))
	var sending conc.WaitGroup
	for index, load := range loads {
		if load.PerSecond > 0 {
			sending.Go(func() { results[index] = load.Send(machines, uint64(index+1)) })
		}
	}
	sending.Wait()
	close(done)
	background.Wait()
	for _, machine := range machines {
		machine.ReleaseProcessor()
	}
	<-time.After(logDelay)
	combination.report(t, loads, results, machines, peaks)
	combination.check(t, slices.Concat(results...), engines, machines, peaks)
}

// check checks that no stream that was begun ended with a closed connection before its time limit, that no
// process ended by itself, and that none needed more memory than its VM has.
func (combination combination) check(t *testing.T, results []tester.StreamResult, engines []*tester.StreamingUpstream, machines []*tester.Machine, peaks *peaks) {
	t.Helper()
	lost := 0
	for _, result := range results {
		began := slices.ContainsFunc(engines, func(engine *tester.StreamingUpstream) bool { return engine.Began(result.Attempt) })
		closed := result.Outcome == tester.Cut || result.Outcome == tester.Closed
		if closed && began && result.Ended.Sub(result.Began) < combination.timeout {
			lost++
		}
	}
	assert.Check(t, lost == 0, "%d of %d streams ended with a closed connection", lost, len(results))
	ended := 0
	for _, machine := range machines {
		if machine.HasExited() {
			ended++
		}
		assert.Check(t, peaks.memory[machine.Name] <= int64(combination.hardware.MemoryMB)<<20, "%s: %d bytes", machine.Name, peaks.memory[machine.Name])
	}
	assert.Check(t, ended == combination.stops, "%d processes have ended, %d were stopped", ended, combination.stops)
}

// configure writes a version of the configuration.
func (combination combination) configure(site *tester.Site) {
	rules := []map[string]any{tester.StreamRule("/clause/", true), tester.StreamRule("/draft/", false), tester.StreamRule("/plain/", true)}
	rules[0]["gap_aim_ms"], rules[0]["target_latency_ms"] = 400, 500
	rules[1]["gap_aim_ms"], rules[1]["target_latency_ms"] = 600, 800
	for _, rule := range rules {
		rule["timeout_ms"] = combination.timeout.Milliseconds()
	}
	for number := range combination.rules {
		rules = append(rules, tester.StreamRule(fmt.Sprintf("/other-%d/", number), true))
	}
	site.Configure(rules...)
}

// disturb does what happens while the traffic flows.
func (combination combination) disturb(site *tester.Site, machines []*tester.Machine, done <-chan struct{}) {
	var group conc.WaitGroup
	defer group.Wait()
	if combination.suspended > 0 {
		group.Go(func() {
			<-time.After(4 * time.Second)
			for number := range combination.suspended {
				machine := machines[len(machines)-1-number]
				machine.ReleaseProcessor()
				machine.Suspend()
			}
			<-time.After(combination.suspension)
			for number := range combination.suspended {
				machines[len(machines)-1-number].Resume()
			}
		})
	}
	for number := range combination.stops {
		group.Go(func() {
			<-time.After(time.Duration(5+number) * time.Second)
			machines[1+number].Terminate()
			<-time.After(balancerDetection)
			machines[1+number].Retire()
		})
	}
	for combination.interval > 0 {
		select {
		case <-done:
			return
		case <-time.After(combination.interval):
		}
		combination.configure(site)
		if combination.compact {
			site.Store.Compact()
		}
	}
	<-done
}

// peaks is what the nodes needed at most.
type peaks struct{ memory, anonymous, unread map[string]int64 }

func newPeaks() *peaks {
	return &peaks{memory: make(map[string]int64), anonymous: make(map[string]int64), unread: make(map[string]int64)}
}

func (peaks *peaks) watch(machines []*tester.Machine, done <-chan struct{}) {
	for {
		for _, machine := range machines {
			peaks.memory[machine.Name] = max(peaks.memory[machine.Name], machine.PeakMemory())
			peaks.anonymous[machine.Name] = max(peaks.anonymous[machine.Name], machine.AnonymousMemory())
			peaks.unread[machine.Name] = max(peaks.unread[machine.Name], machine.UnreadBytes())
		}
		select {
		case <-done:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// report logs what was seen and checks it.
func (combination combination) report(t *testing.T, loads []tester.StreamLoad, results [][]tester.StreamResult, machines []*tester.Machine, peaks *peaks) {
	t.Helper()
	for index, load := range loads {
		counts, byMachine := make(map[tester.Outcome]int), make(map[string]int)
		took := []time.Duration{}
		for _, result := range results[index] {
			counts[result.Outcome]++
			took = append(took, result.Ended.Sub(result.Began))
			if result.Outcome == tester.Cut || result.Outcome == tester.Closed {
				byMachine[result.Machine]++
				if byMachine[result.Machine] <= 3 {
					t.Logf("%s: %s %s after %v, %d events: %s", load.Path, result.Attempt, result.Outcome, result.Ended.Sub(result.Began).Round(time.Millisecond), result.Events, result.Text)
				}
			}
		}
		slices.Sort(took)
		if len(took) > 0 {
			t.Logf("%s: %d requests %v, median %v, longest %v, cut by %v", load.Path, len(took), counts, took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), byMachine)
		}
	}
	const mb = 1 << 20
	for _, machine := range machines {
		toVM, fromVM := machine.Link.CarriedBytes()
		used, err := machine.ProcessorTime()
		ended := ""
		if err != nil {
			ended = ", ended"
		}
		t.Logf("%s: %.2f s of processor time, peak %.1f MB, anonymous %.1f MB, unread %.2f MB, link %.1f MB in, %.1f MB out, longest wait %v%s", machine.Name, used.Seconds(), float64(peaks.memory[machine.Name])/mb, float64(peaks.anonymous[machine.Name])/mb, float64(peaks.unread[machine.Name])/mb, float64(toVM)/mb, float64(fromVM)/mb, machine.Link.LongestWait().Round(time.Millisecond), ended)
	}
	logCuts(t, results, machines)
	reasons := make(map[string]int)
	finished := regexp.MustCompile(`eventName=(requestFinished|sendFailed|silenceEndured|issuerSilent|queueFull|storeAway|peerUnreachable|pathLost|connectionReset).*`)
	addresses := regexp.MustCompile(`[0-9.]+:[0-9]+`)
	fields := regexp.MustCompile(`(eventName|status|reason|unrepeated|cause|feed|lost)=("[^"]*"|\S*)`)
	for _, machine := range machines {
		text, err := machine.Output()
		assert.NilError(t, err)
		for _, line := range finished.FindAllString(text, -1) {
			reasons[addresses.ReplaceAllString(strings.Join(fields.FindAllString(line, -1), " "), "an address")]++
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		t.Logf("%5d %s", reasons[reason], reason)
	}
}

// logCuts logs what the nodes logged of the first answers that were cut off.
func logCuts(t *testing.T, results [][]tester.StreamResult, machines []*tester.Machine) {
	t.Helper()
	const shown = 4
	for _, loaded := range results {
		logged := 0
		for _, result := range loaded {
			if result.Outcome != tester.Cut && result.Outcome != tester.Closed || logged == shown {
				continue
			}
			logged++
			for _, machine := range machines {
				text, err := machine.Output()
				assert.NilError(t, err)
				for line := range strings.Lines(text) {
					if machine.Name == result.Machine && strings.Contains(line, "request="+result.Attempt+" ") {
						t.Log(strings.TrimSpace(line))
					}
				}
			}
		}
	}
}
