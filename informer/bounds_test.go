package informer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// wayFault is a fault of the nodes' ways to the store before a change.
type wayFault struct {
	sizes []int
	// changed is how long before the fault other entries change; 0 means that none does.
	changed time.Duration
	// begin begins the fault and returns the nodes whose own way to the store fails at the
	// change: the bound does not hold for these.
	begin func(cluster *cluster) (affected []definer.VM)
	// lead is the time from the fault to the change.
	lead time.Duration
}

// news is a change of the store that all nodes have to know within a bound.
type news struct {
	bound time.Duration
	// write makes the change; missedBy reports whether a node does not know it.
	write    func(cluster *cluster)
	missedBy func(cluster *cluster, node *member) bool
}

// all returns the names of all nodes.
func (cluster *cluster) all() []definer.VM {
	var vms []definer.VM
	for _, peer := range cluster.order {
		vms = append(vms, peer.VM)
	}
	return vms
}

// silence makes the ways of nodes to the store go silent.
func silence(vms ...definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		cluster.setReachability(unreachable, vms...)
		return vms
	}
}

// lose loses the answers to the open calls of nodes.
func lose(vms ...definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		cluster.loseAnswers(vms...)
		return vms
	}
}

// loseAll loses the answers to the open calls of all nodes, which are all bound when the
// change is made later.
func loseAll(cluster *cluster) []definer.VM {
	cluster.loseAnswers(cluster.all()...)
	return nil
}

// outage makes the store silent for all nodes for 4.5 s.
func outage(cluster *cluster) []definer.VM {
	cluster.setReachability(unreachable, cluster.all()...)
	cluster.run(4500 * time.Millisecond)
	cluster.setReachability(served, cluster.all()...)
	return nil
}

// briefly is the lead of faults at nodes whose ways are not needed for the bound to hold,
// and stable that of faults at all nodes: the platform's time for the store to count as stable.
const (
	briefly = 100 * time.Millisecond
	stable  = 3100 * time.Millisecond
)

var wayFaults = map[string]wayFault{
	"reader silent":                       {sizes: []int{6}, begin: silence("0-000"), lead: briefly},
	"reader silent, eight nodes":          {sizes: []int{8}, begin: silence("0-000"), lead: briefly},
	"reader and next silent":              {sizes: []int{8}, begin: silence("0-000", "0-001"), lead: briefly},
	"reader silent, three data centres":   {sizes: []int{4, 2, 2}, begin: silence("0-000"), lead: briefly},
	"readers silent, three data centres":  {sizes: []int{4, 2, 2}, begin: silence("0-000", "1-000", "2-000"), lead: briefly},
	"reader silent for a second":          {sizes: []int{6}, begin: silence("0-000"), lead: time.Second},
	"reader loses answers":                {sizes: []int{6}, begin: lose("0-000"), lead: briefly},
	"reader loses answers after a change": {sizes: []int{6}, begin: lose("0-000"), lead: briefly, changed: 900 * time.Millisecond},
	"all lose answers":                    {sizes: []int{6}, begin: loseAll, lead: stable},
	"all lose answers, data centres":      {sizes: []int{2, 2, 2}, begin: loseAll, lead: stable},
	"all lose answers after a change":     {sizes: []int{4, 2, 2}, begin: loseAll, lead: stable, changed: 900 * time.Millisecond},
	"single node loses answers":           {sizes: []int{1}, begin: loseAll, lead: stable},
	"store silent":                        {sizes: []int{4, 2, 2}, begin: outage, lead: stable},
}

// lateness returns how long after the change the last node that the fault does not affect learns of
// it. phase is the time from a start of all nodes to the fault.
func (wayFault *wayFault) lateness(t *testing.T, news news, phase time.Duration) (late time.Duration, at definer.VM) {
	t.Helper()
	const every = 20 * time.Millisecond
	withCluster(t, 11, wayFault.sizes, func(cluster *cluster) {
		cluster.run(phase)
		if wayFault.changed > 0 {
			cluster.listUpstream("u00", true)
			cluster.configure()
			cluster.evacuate("7", false)
			cluster.run(wayFault.changed)
		}
		affected := make(map[definer.VM]bool)
		for _, vm := range wayFault.begin(cluster) {
			affected[vm] = true
		}
		cluster.run(wayFault.lead)
		changedAt := time.Now()
		news.write(cluster)
		for range 2 * news.bound / every {
			time.Sleep(every)
			for vm, node := range cluster.nodes {
				if !affected[vm] && news.missedBy(cluster, node) {
					late, at = time.Since(changedAt), vm
				}
			}
		}
		cluster.setReachability(served, cluster.all()...)
		cluster.run(3 * time.Second)
	})
	return late, at
}

// checkInTime checks that nodes learn of a change within its bound whatever happens to the ways of
// other nodes to the store.
func checkInTime(t *testing.T, news news) {
	t.Helper()
	for name, wayFault := range wayFaults {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			var detail string
			for step := range 12 {
				phase := time.Duration(step) * 150 * time.Millisecond
				if late, at := wayFault.lateness(t, news, phase); late > worst {
					worst, detail = late, fmt.Sprintf("%s, phase %v", at, phase)
				}
			}
			t.Logf("known after %v (%s)", worst, detail)
			assert.Assert(t, worst <= news.bound, "known after %v (%s)", worst, detail)
		})
	}
}

// TestLeavingUpstreamsAreKnownInTime guards against requests that reach an upstream after the bound
// on leaving because the node that reads the store for others no longer gets answers.
func TestLeavingUpstreamsAreKnownInTime(t *testing.T) {
	checkInTime(t, news{
		bound:    bounds.Leaving,
		write:    func(cluster *cluster) { cluster.listUpstream("u07", true) },
		missedBy: func(_ *cluster, node *member) bool { return node.lists("u07") },
	})
}

// TestRemovedUpstreamsAreKnownInTime guards against requests that reach an upstream which left
// without notice, because its removal is doubted though the store was not away.
func TestRemovedUpstreamsAreKnownInTime(t *testing.T) {
	checkInTime(t, news{
		bound:    bounds.Leaving,
		write:    func(cluster *cluster) { cluster.removeUpstream("u07") },
		missedBy: func(_ *cluster, node *member) bool { return node.lists("u07") },
	})
}

// TestConfigurationsAreKnownInTime guards against nodes that apply a configuration after the bound
// because the node that reads the store for others no longer gets answers.
func TestConfigurationsAreKnownInTime(t *testing.T) {
	checkInTime(t, news{
		bound:    bounds.Application,
		write:    func(cluster *cluster) { cluster.configure() },
		missedBy: func(cluster *cluster, node *member) bool { return node.informer.version() < cluster.newest() },
	})
}

// TestEvacuationsAreKnownInTime guards against nodes that use an evacuated data centre after the
// bound because the node that reads the store for others no longer gets answers.
func TestEvacuationsAreKnownInTime(t *testing.T) {
	checkInTime(t, news{
		bound:    bounds.Evacuation,
		write:    func(cluster *cluster) { cluster.evacuate("0", false) },
		missedBy: func(_ *cluster, node *member) bool { return !node.evacuates("0") },
	})
}

// lists reports whether a node may send requests to an upstream.
func (member *member) lists(id definer.UpstreamName) bool {
	return slices.ContainsFunc(member.informer.Upstreams().Upstreams(pool), func(upstream *registrar.Upstream) bool { return upstream.ID == id })
}

// evacuates reports whether a node applies the evacuation of a data centre.
func (member *member) evacuates(dataCentre definer.DataCentre) bool {
	return slices.ContainsFunc(member.confiner.Evacuations(), func(evacuation confiner.Evacuation) bool { return evacuation.DataCentre == dataCentre })
}
