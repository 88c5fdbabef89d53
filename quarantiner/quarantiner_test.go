package quarantiner_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

// startTime returns the time at which the simulated clocks of the tests start.
func startTime() time.Time { return time.Unix(1000, 0) }

// identity returns the identity of a request with the name as its target.
func identity(name string) definer.RequestIdentity {
	return quarantiner.Identify(&quarantiner.RequestParts{Target: name})
}

// start returns the upstream process of a number.
func start(number int) definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("u%d", number)), Incarnation: 1}
}

// step is an event at a time after the start of the test. Requests are named by single letters.
type step struct {
	at time.Duration
	// ended is the upstream that crashes with the requests on it; 0 is none.
	ended    int
	requests string
	// served are the requests that are served in this step, and lifted those that an operator
	// lifts.
	served string
	lifted string
}

// applySteps applies the steps to one node and returns the time of the last step.
func applySteps(node *quarantiner.Quarantiner, steps []step) time.Time {
	now := startTime()
	for _, step := range steps {
		now = startTime().Add(step.at)
		node.NextReport(now, messenger.MemberLoad) // Nodes report continuously.
		for _, request := range step.requests {
			node.RecordCrash(now, start(step.ended), identity(string(request)))
		}
		for _, request := range step.served {
			node.RecordServed(now, identity(string(request)))
		}
		for _, request := range step.lifted {
			node.Lift(now, identity(string(request)))
		}
	}
	return now
}

// TestHeldOff checks which requests one node holds off after a sequence of events.
func TestHeldOff(t *testing.T) {
	second := time.Second
	cases := []struct {
		name  string
		steps []step
		held  string
	}{
		{"two crashes are below the threshold", []step{{0, 1, "g", "", ""}, {second, 2, "g", "", ""}}, ""},
		{"three crashes reach the threshold", []step{{0, 1, "g", "", ""}, {second, 2, "g", "", ""}, {2 * second, 3, "g", "", ""}}, "g"},
		{"a crash reported more than once counts once", []step{{0, 1, "ggg", "", ""}, {second, 1, "gg", "", ""}}, ""},
		{"a culprit clears other requests on the same upstreams", []step{{0, 1, "gi", "", ""}, {second, 2, "gj", "", ""}, {2 * second, 3, "gi", "", ""}, {3 * second, 4, "gi", "", ""}}, "g"},
		{"a request served between crashes is not held off", []step{{0, 1, "g", "", ""}, {second, 2, "g", "", ""}, {2 * second, 0, "", "g", ""}, {3 * second, 3, "g", "", ""}}, ""},
		{"a request served just before the crashes is not held off", []step{{0, 0, "", "g", ""}, {second, 1, "g", "", ""}, {second, 2, "g", "", ""}, {second, 3, "g", "", ""}}, ""},
		{"a request served long before the crashes is held off", []step{{0, 0, "", "g", ""}, {9 * second, 1, "g", "", ""}, {9 * second, 2, "g", "", ""}, {9 * second, 3, "g", "", ""}}, "g"},
		{"being served releases a request", []step{{0, 1, "g", "", ""}, {0, 2, "g", "", ""}, {0, 3, "g", "", ""}, {second, 0, "", "g", ""}}, ""},
		{"an operator releases a request", []step{{0, 1, "g", "", ""}, {0, 2, "g", "", ""}, {0, 3, "g", "", ""}, {second, 0, "", "", "g"}}, ""},
		{"two culprits on different upstreams are both held off", []step{{0, 1, "g", "", ""}, {0, 2, "h", "", ""}, {0, 3, "g", "", ""}, {0, 4, "h", "", ""}, {0, 5, "g", "", ""}, {0, 6, "h", "", ""}}, "gh"},
		{"two culprits on the same upstreams do not clear each other", []step{{0, 1, "gh", "", ""}, {0, 2, "gh", "", ""}, {0, 3, "gh", "", ""}, {second, 4, "h", "", ""}, {second, 5, "g", "", ""}}, "gh"},
		{"a hold ends after MaxHold", []step{{0, 1, "g", "", ""}, {0, 2, "g", "", ""}, {0, 3, "g", "", ""}, {quarantiner.MaxHold, 0, "", "", ""}}, ""},
		{"one crash after the end of a hold is enough", []step{{0, 1, "g", "", ""}, {0, 2, "g", "", ""}, {0, 3, "g", "", ""}, {2 * quarantiner.MaxHold, 4, "g", "", ""}}, "g"},
		{"one crash after the earlier crashes are forgotten is not enough", []step{{0, 1, "g", "", ""}, {0, 2, "g", "", ""}, {0, 3, "g", "", ""}, {2 * time.Hour, 4, "g", "", ""}}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			node := quarantiner.New()
			now := applySteps(node, test.steps)
			node.NextReport(now, messenger.MemberLoad) // Expires old facts.
			held := ""
			for _, request := range "ghij" {
				if left := node.Check(now, identity(string(request))).HeldFor; left > 0 {
					assert.Assert(t, left <= quarantiner.MaxHold)
					held += string(request)
				}
			}
			assert.Equal(t, held, test.held)
		})
	}
}

// TestUpstreamsWithoutStartsEndMoreThanOnce checks that an upstream that does not announce its
// incarnation can crash again under a request, once it has had time to come back.
func TestUpstreamsWithoutStartsEndMoreThanOnce(t *testing.T) {
	node := quarantiner.New()
	unknown := definer.UpstreamStart{Upstream: "u"}
	for count, want := range []int{1, 1, 2, 2, 3} {
		node.RecordCrash(startTime().Add(time.Duration(count)*600*time.Millisecond), unknown, identity("g"))
		assert.Equal(t, node.UnclearedCrashes(identity("g")), want, "%d", count)
	}
	assert.Assert(t, node.Check(startTime().Add(3*time.Second), identity("g")).HeldFor > 0)
}

// TestListTellsOperators checks what operators see of a request that is held off.
func TestListTellsOperators(t *testing.T) {
	node := quarantiner.New()
	now := startTime()
	node.RecordCrash(now, start(1), identity("g"))
	node.Learn(now.Add(time.Second), "peer", messenger.FleetLoad, []messenger.UpstreamFall{
		{Upstream: "u2", Incarnation: 1, Age: 100 * time.Millisecond, Suspects: []definer.RequestIdentity{identity("g"), identity("i")}},
	})
	node.RecordCrash(now.Add(2*time.Second), start(3), identity("g"))
	node.Check(now.Add(3*time.Second), identity("g"))
	list := node.List(now.Add(4 * time.Second))
	assert.Equal(t, len(list), 2)
	assert.DeepEqual(t, list[0], quarantiner.Suspicion{
		Identity: identity("g"), Held: true, Since: 2 * time.Second, TimeLeft: quarantiner.MaxHold - 2*time.Second,
		Upstreams: []definer.UpstreamStart{start(1), start(2), start(3)}, ReportedBy: []definer.VM{"peer"},
		FirstCrashAgo: 4 * time.Second, Refused: 1,
	})
	assert.Equal(t, list[1].Held, false)
}

// TestMillionsOfRequestsAreBounded has a caller send a different request each time: the facts
// about a request that is held off stay, and the number of other suspects is bounded.
func TestMillionsOfRequestsAreBounded(t *testing.T) {
	held, suspected := 0, 0
	node := quarantiner.New(quarantiner.WithCounts(func(nowHeld, nowSuspected int) { held, suspected = nowHeld, nowSuspected }))
	for number := range 3 {
		node.RecordCrash(startTime(), start(number), identity("g"))
	}
	for number := range 20_000 {
		node.Learn(startTime(), "peer", messenger.MemberLoad, []messenger.UpstreamFall{
			{Upstream: "u9", Incarnation: 1, Suspects: []definer.RequestIdentity{identity(fmt.Sprint(number))}},
		})
	}
	assert.Assert(t, suspected <= 4096, "%d", suspected)
	assert.Equal(t, held, 1)
	assert.Assert(t, node.Check(startTime(), identity("g")).HeldFor > 0)
	told := 0
	for _, fall := range node.NextReport(startTime(), messenger.MemberLoad) {
		told += len(fall.Suspects) + len(fall.Cleared)
	}
	assert.Equal(t, told, 256)
}

// BenchmarkRequest measures what a request of 800 bytes costs on its way, a different one each
// time, while the table of suspects is full.
func BenchmarkRequest(bench *testing.B) {
	node := quarantiner.New()
	for number := range 4096 {
		node.RecordCrash(startTime(), start(number), identity(fmt.Sprint(number)))
	}
	body := make([]byte, 800)
	asked := &quarantiner.RequestParts{Organisation: "guild", Method: "POST", Host: "h.example", Target: "/a/b", Body: body}
	bench.ReportAllocs()
	count := 0
	for bench.Loop() {
		count++
		binary.BigEndian.PutUint64(body, uint64(count))
		now := startTime().Add(time.Duration(count) * time.Second / 2100)
		identity := quarantiner.Identify(asked)
		node.Check(now, identity)
		node.RecordServed(now, identity)
	}
}

// TestMemoryIsBounded checks how much memory a full table of suspects and 2,100 served requests a
// second take.
func TestMemoryIsBounded(t *testing.T) {
	const most = 8 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	node := quarantiner.New()
	for number := range 3 * 4096 {
		node.RecordCrash(startTime(), start(number/20), identity(fmt.Sprint(number)))
	}
	for number := range 5 * 2100 {
		node.RecordServed(startTime().Add(time.Duration(number)*time.Second/2100), identity(fmt.Sprint("served ", number)))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d KB", used>>10)
	assert.Assert(t, used < most, "%d bytes", used)
	runtime.KeepAlive(node)
}

func BenchmarkCheckAmongSuspects(bench *testing.B) {
	node := quarantiner.New()
	for number := range 4096 {
		node.RecordCrash(startTime(), start(number), identity(fmt.Sprint(number)))
	}
	asked := identity("other")
	bench.ReportAllocs()
	for bench.Loop() {
		node.Check(startTime(), asked)
		node.RecordServed(startTime(), asked)
	}
}

// BenchmarkLearnAmongSuspects measures one reported crash with 20 requests on it while the table
// of suspects is full.
func BenchmarkLearnAmongSuspects(bench *testing.B) {
	node := quarantiner.New()
	for number := range 4096 {
		node.RecordCrash(startTime(), start(number), identity(fmt.Sprint(number)))
	}
	fall := messenger.UpstreamFall{Incarnation: 1}
	for number := range 20 {
		fall.Suspects = append(fall.Suspects, identity(fmt.Sprint(number)))
	}
	count := 0
	for bench.Loop() {
		count++
		fall.Upstream = definer.UpstreamName(fmt.Sprint("v", count))
		node.Learn(startTime(), "peer", messenger.FleetLoad, []messenger.UpstreamFall{fall})
		node.NextReport(startTime(), messenger.FleetLoad)
	}
}
