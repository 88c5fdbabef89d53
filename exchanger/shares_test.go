package exchanger

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/apportioner"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestSharesCountEachNodeOnce guards against nodes that judge by sums which lack nodes or count
// some twice: after three hops each node knows the work of an organisation on all nodes, also
// beside nodes of an older version, whose reports have none.
func TestSharesCountEachNodeOnce(t *testing.T) {
	fleet := newFleet(t, 40, 9)
	counts := make(map[definer.VM]*apportioner.Apportioner)
	for index, peer := range fleet.order {
		if index%7 == 3 {
			continue
		}
		counts[peer.VM] = apportioner.New()
		fleet.nodes[peer.VM].shares = counts[peer.VM]
		fleet.nodes[peer.VM].Replace(fleet.order)
		counts[peer.VM].SetCapacity(fleet.now, "pool", 1)
		counts[peer.VM].Record(fleet.now, apportioner.Claim{Service: "pool", Organisation: "one", Work: time.Second})
	}
	fleet.step(6)
	for vm, count := range counts {
		list := count.List(fleet.now)
		assert.Equal(t, len(list), 1)
		// The sums have decayed for 0.2 to 0.6 s. Reports of older nodes that aggregate lack
		// shares, so their groups may be missing.
		assert.Check(t, list[0].Work > 10*time.Second && list[0].Work < time.Duration(len(counts))*time.Second*9/10, "%s: %v", vm, list[0].Work)
	}
}

// TestReportsListTheHeaviest guards against reports that grow with the number of organisations: the
// lightest are reported as one sum, and what a member reported itself is subtracted.
func TestReportsListTheHeaviest(t *testing.T) {
	all, member := newSum(true), &messenger.LoadReport{Nodes: 1}
	for index := range 100 {
		work := messenger.OrganisationWork{Service: "pool", Organisation: definer.OrganisationName(fmt.Sprint(index)), Work: time.Duration(1+index) * time.Second}
		all.add(&messenger.LoadReport{Nodes: 1, Shares: []messenger.OrganisationWork{work}}, 0)
		if index == 99 {
			member.Shares = []messenger.OrganisationWork{work}
			all.add(member, 0)
		}
	}
	report := all.reportWithout(messenger.FleetLoad, member, nil)
	total, lightest := time.Duration(0), time.Hour
	for _, work := range report.Shares {
		total += work.Work
		if work.Organisation != "" {
			lightest = min(lightest, work.Work)
		}
	}
	assert.Equal(t, len(report.Shares), messenger.MaxListedShares+1)
	assert.Equal(t, total, 5050*time.Second)
	assert.Equal(t, lightest, 69*time.Second)
}

// BenchmarkSharesAtScale measures what shares add at an aggregator of 986 nodes in 62 groups, with
// 24 organisations in two tiers: the bytes of one report, the time that the reports of one interval
// take, and the memory that they occupy.
func BenchmarkSharesAtScale(b *testing.B) {
	const groups, members, organisations = 61, 15, 24
	now, buffer := time.Unix(1000, 0), bytes.Buffer{}
	encoder := gob.NewEncoder(&buffer)
	encode := func(seed, count int) (size int, works []messenger.OrganisationWork) {
		for index := range 2 * count {
			service, organisation := strings.Clone("pool-main"), fmt.Sprintf("tenant-%02d", index/2) // Decoding allocates each name.
			works = append(works, messenger.OrganisationWork{Service: definer.PoolName(service), Tier: index % 2, Organisation: definer.OrganisationName(organisation), Work: time.Duration(seed+1) * 13579 * time.Microsecond})
		}
		buffer.Reset()
		assert.NilError(b, encoder.Encode(&messenger.LoadReport{Shares: works}))
		return buffer.Len(), works
	}
	encode(0, 1) // The first message on a connection describes the types as well.
	quiet, _ := encode(0, 0)
	full, _ := encode(1, organisations)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	shares := apportioner.New()
	shares.SetNodes(986)
	shares.SetCapacity(now, "pool-main", 1)
	var reports [][]messenger.OrganisationWork
	for index := range groups + members {
		_, works := encode(index, organisations)
		reports = append(reports, shares.Replace(now, definer.VM(fmt.Sprint(index)), 16, works))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		for index, works := range reports {
			shares.Replace(now, definer.VM(fmt.Sprint(index)), 16, works)
		}
		all := newSum(true)
		for _, works := range reports {
			all.shares.add(works)
		}
		for _, works := range reports[:members] {
			all.reportWithout(messenger.FleetLoad, &messenger.LoadReport{Shares: works}, nil)
		}
		now = now.Add(interval)
		shares.Report(now)
	}
	b.ReportMetric(float64(full-quiet), "bytes/report")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
}
