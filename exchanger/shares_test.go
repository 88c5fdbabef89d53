package exchanger

import (
	"fmt"
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
	fleet.step(5)
	for vm, count := range counts {
		list := count.List(fleet.now)
		assert.Equal(t, len(list), 1)
		// The sums have decayed for 0.2 to 0.5 s. Reports of older nodes that aggregate lack
		// shares, so their groups may be missing.
		assert.Check(t, list[0].Work > 10*time.Second && list[0].Work < time.Duration(len(counts))*time.Second*9/10, "%s: %v", vm, list[0].Work)
	}
}

// TestReportsListTheHeaviest guards against reports that grow with the number of organisations: the
// lightest are reported as one sum, and what a member reported itself is subtracted.
func TestReportsListTheHeaviest(t *testing.T) {
	all, member := newSum(), &messenger.LoadReport{Nodes: 1}
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
