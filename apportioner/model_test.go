package apportioner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	modelStep = 10 * time.Millisecond
	// modelWork is the work of one request and modelWait the longest time that one may wait.
	modelWork = 40 * time.Millisecond
	modelWait = time.Second
	// The surge and the loss of engines last from surgeStart to surgeEnd.
	surgeStart = 2 * time.Second
	surgeEnd   = 12 * time.Second
	// modelGroup is the size of the groups of nodes that report through one aggregator.
	modelGroup = 16
	surging    = definer.OrganisationName("surging")
)

// model simulates nodes that judge the requests of 24 organisations, and engines that serve
// those within their share first. Reports take three hops, 10 ms apart; as in package exchanger,
// every second one of those sent each 100 ms has shares.
type model struct {
	random *rand.Rand
	nodes  []*Apportioner
	// deaf is the number of nodes, from the last, that send and receive no reports.
	deaf    int
	engines float64
	// within and beyond are the work that waits, in seconds of engine time.
	within, beyond float64
	// offered and refused count the requests of the others during the surge, idle the engine
	// time that was not used while requests were refused.
	offered, refused int
	refusedAny       bool
	idle             float64
}

// scenario is one variant of the simulated days.
type scenario struct {
	nodes   int
	engines float64
	// factor is the rate of the surging organisation during the surge, relative to the usual one;
	// usual is its usual part of all requests.
	factor, usual float64
	judged        bool
	deaf          int
	restarts      bool
	// moves makes the organisation's requests arrive at a third of the nodes, then another.
	moves bool
}

func (scenario *scenario) run(seed uint64) *model {
	model := &model{random: rand.New(rand.NewPCG(seed, 1)), deaf: scenario.deaf}
	for range scenario.nodes {
		model.nodes = append(model.nodes, New())
		model.nodes[len(model.nodes)-1].SetNodes(scenario.nodes)
	}
	surge := rand.New(rand.NewPCG(seed, 2))
	for elapsed := time.Duration(0); elapsed < surgeEnd; elapsed += modelStep {
		now := time.Unix(1000, 0).Add(elapsed)
		inSurge, factor := elapsed >= surgeStart, 1.0
		model.engines = scenario.engines
		if inSurge {
			model.engines, factor = scenario.engines*2/3, scenario.factor
		}
		if index := model.random.IntN(scenario.nodes); scenario.restarts && elapsed%time.Second == 0 {
			model.nodes[index] = New()
			model.nodes[index].SetNodes(scenario.nodes)
		}
		rate := 0.55 * scenario.engines * float64(modelStep) / float64(modelWork)
		arrivals := make([]definer.OrganisationName, poisson(surge, rate*scenario.usual*factor))
		for index := range arrivals {
			arrivals[index] = surging
		}
		for range poisson(model.random, rate*0.75) {
			arrivals = append(arrivals, other(model.random))
		}
		surge.Shuffle(len(arrivals), func(left, right int) { arrivals[left], arrivals[right] = arrivals[right], arrivals[left] })
		for _, organisation := range arrivals {
			index := model.random.IntN(scenario.nodes)
			if scenario.moves && organisation == surging {
				index = index/3 + int(elapsed/(5*time.Second))%3*(scenario.nodes/3)
			}
			model.request(now, organisation, index, scenario.judged, inSurge)
		}
		if scenario.judged {
			model.exchange(now, int(elapsed/modelStep)%20)
		}
		model.serve()
	}
	return model
}

// other returns one of 23 organisations, of which one sends as much as five others.
func other(random *rand.Rand) definer.OrganisationName {
	return definer.OrganisationName(fmt.Sprint("other-", max(random.IntN(28)-5, 0)))
}

// poisson returns how many independent events of the rate occur.
func poisson(random *rand.Rand, rate float64) int {
	count := 0
	for left := rate - random.ExpFloat64(); left > 0; left -= random.ExpFloat64() {
		count++
	}
	return count
}

// request lets a node judge a request, which then waits for an engine or is refused.
func (model *model) request(now time.Time, organisation definer.OrganisationName, index int, judged, counted bool) {
	claim := Claim{Service: "pool", Organisation: organisation, Work: modelWork}
	node, verdict := model.nodes[index], Verdict{}
	draw := model.random.Float64()
	if judged {
		node.SetCapacity(now, "pool", model.engines)
		node.Record(now, claim)
		verdict = node.Judge(now, claim, draw)
	}
	wait, queue := model.within, &model.within
	if verdict.Beyond {
		wait, queue = model.within+model.beyond, &model.beyond
	}
	refused := wait > model.engines*modelWait.Seconds()
	if !refused {
		*queue += modelWork.Seconds()
	}
	model.refusedAny = model.refusedAny || refused
	if counted && organisation != surging {
		model.offered++
		if refused {
			model.refused++
		}
	}
}

// serve lets the engines work for one step.
func (model *model) serve() {
	left := model.engines * modelStep.Seconds()
	for _, queue := range []*float64{&model.within, &model.beyond} {
		done := min(*queue, left)
		*queue -= done
		left -= done
	}
	if model.refusedAny {
		model.idle += left
	}
	model.refusedAny = false
}

// exchange runs the hop of the reports that is due in one of the 20 steps between shares.
func (model *model) exchange(now time.Time, step int) {
	reporting := model.nodes[:len(model.nodes)-model.deaf]
	for first := 0; first < len(reporting) && step == 0; first += modelGroup {
		for index := first + 1; index < min(first+modelGroup, len(reporting)); index++ {
			reporting[first].Replace(now, name("node", index), 1, reporting[index].Report(now))
		}
	}
	if step != 1 && step != 2 {
		return
	}
	reports := make([][]messenger.OrganisationWork, len(reporting))
	for index, node := range reporting {
		reports[index] = node.Report(now)
	}
	sums, total := make(map[int]map[definer.OrganisationName]time.Duration), make(map[definer.OrganisationName]time.Duration)
	for first := 0; first < len(reporting); first += modelGroup {
		sums[first] = make(map[definer.OrganisationName]time.Duration)
		for _, work := range slices.Concat(reports[first:min(first+modelGroup, len(reporting))]...) {
			sums[first][work.Organisation] += work.Work
			total[work.Organisation] += work.Work
		}
	}
	for first := range sums {
		if step == 1 {
			list := listOf(sums[first], nil)
			for other := range sums {
				if other != first {
					reporting[other].Replace(now, name("group", first), min(modelGroup, len(reporting)-first), list)
				}
			}
			continue
		}
		for index := first + 1; index < min(first+modelGroup, len(reporting)); index++ {
			reporting[index].Replace(now, "aggregator", len(reporting)-1, listOf(total, reports[index]))
		}
	}
}

func name(kind string, index int) definer.VM { return definer.VM(fmt.Sprint(kind, "-", index)) }

// listOf returns the sums without the works.
func listOf(sums map[definer.OrganisationName]time.Duration, without []messenger.OrganisationWork) []messenger.OrganisationWork {
	var list []messenger.OrganisationWork
	taken := make(map[definer.OrganisationName]time.Duration, len(without))
	for _, work := range without {
		taken[work.Organisation] = work.Work
	}
	for organisation, work := range sums {
		work -= taken[organisation]
		list = append(list, messenger.OrganisationWork{Service: "pool", Organisation: organisation, Work: max(work, 0)})
	}
	slices.SortFunc(list, func(left, right messenger.OrganisationWork) int {
		return cmp.Compare(left.Organisation, right.Organisation)
	})
	return list
}

// TestSurgeOfOneOrganisationSparesOthers guards against refusing all organisations alike when one
// of them sends twelve times its usual requests for 10 s while a third of the engines is lost: the
// refusals of the others stay within 2 points of a run without the surge, no engine is idle while
// requests are refused, and without shares the others lose far more.
func TestSurgeOfOneOrganisationSparesOthers(t *testing.T) {
	cases := map[string]scenario{
		"8 nodes":              {nodes: 8, engines: 12},
		"88 nodes":             {nodes: 88, engines: 60},
		"986 nodes":            {nodes: 986, engines: 200},
		"restarts":             {nodes: 88, engines: 60, restarts: true},
		"a node unreached":     {nodes: 88, engines: 60, deaf: 1},
		"between data centres": {nodes: 88, engines: 60, moves: true},
		"new or idle before":   {nodes: 88, engines: 60, usual: 0.25},
	}
	for name, surge := range cases {
		t.Run(name, func(t *testing.T) {
			fresh := surge.usual > 0
			surge.usual, surge.factor, surge.judged = 0.25, 12, true
			quiet, unjudged := surge, surge
			quiet.factor, quiet.judged, unjudged.judged = 1, false, false
			if fresh {
				quiet.factor = 0
				surge.usual, surge.factor = 3e-4, 1e4
			}
			with, without, equal := surge.run(1), quiet.run(1), unjudged.run(1)
			share := func(model *model) float64 { return float64(model.refused) / float64(model.offered) }
			t.Logf("refused of the others: %.4f with the surge, %.4f without it, %.4f without shares; idle %.3f", share(with), share(without), share(equal), with.idle)
			assert.Assert(t, share(with) <= share(without)+0.02)
			assert.Assert(t, share(equal) >= 0.3, "the surge must exceed the capacity")
			assert.Assert(t, with.idle == 0)
		})
	}
}
