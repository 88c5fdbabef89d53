package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
)

const (
	// endingIdentity is the identity of the request that ends upstreams.
	endingIdentity = definer.RequestIdentity("0123456789abcdef")
	// endingsAllowed is how many upstreams may end: the third end is known to
	// all before the next attempt.
	endingsAllowed = 3
	// endingEvery is the time between two attempts. It exceeds the second
	// within which two ends of an upstream that does not report its starts
	// count as one.
	endingEvery = 1200 * time.Millisecond
	// toldWithin is how soon a member that has started must know the
	// suspicions; the users require this bound.
	toldWithin = 3 * time.Second
)

// sendEndingRequest sends the request to a VM under another id and returns how
// it ended.
func (cluster *cluster) sendEndingRequest(vm definer.VM, number int) string {
	id := definer.RequestID(fmt.Sprintf("ending-%03d", number))
	cluster.endsUpstream[id] = true
	cluster.handle(cluster.nodes[vm], RequestArrived{
		Request: id, Organisation: "o", Identity: endingIdentity,
		Properties: matcher.Properties{Model: "m", Path: "/rest", PromptTokens: 100, MaxTokens: tokens},
	})
	cluster.run(endingEvery)
	return cluster.ended[id]
}

// TestEndingRequestAcrossDataCentres sends a request that ends its upstreams to
// members of three data centres in turn, with messages lost, and then to a
// relay that has just restarted: all members must hold the request off.
func TestEndingRequestAcrossDataCentres(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			cluster := newCluster(t, 1, 3, 3)
			cluster.endsUpstream = make(map[definer.RequestID]bool)
			cluster.run(5 * time.Second)
			cluster.loss = loss
			for number := range 18 {
				vm := cluster.listed[(4*number)%len(cluster.listed)].Name
				how := cluster.sendEndingRequest(definer.VM(vm), number)
				assert.Assert(t, number < 2*endingsAllowed || how == string(messenger.HeldOff), "%d at %s: %s", number, vm, how)
			}
			assert.Assert(t, cluster.endedUpstreams >= endingsAllowed && cluster.endedUpstreams <= endingsAllowed+int(20*loss), "%d upstreams ended", cluster.endedUpstreams)

			cluster.loss = 0
			relay := cluster.relay("dc1")
			delete(cluster.nodes, relay)
			cluster.run(10 * time.Second)
			for _, vm := range cluster.listed {
				if definer.VM(vm.Name) == relay {
					cluster.start(vm, 2)
				}
			}
			cluster.run(toldWithin)
			assert.Equal(t, cluster.sendEndingRequest(relay, 100), string(messenger.HeldOff))
		})
	}
}

// relay returns the relay of a data centre, as its members see it.
func (cluster *cluster) relay(dataCentre definer.DataCentre) definer.VM {
	seenBy := cluster.others(dataCentre, "")[0]
	vm, _ := cluster.nodes[seenBy].decider.core.roster.owner(messenger.Shard{DataCentre: dataCentre, Pool: suspicionComponent})
	return vm
}
