package exchanger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestAggregatorsHaveTheLargestLinks checks that the nodes with the largest links in a
// data centre come first in its groups, wherever their names sort, and that all nodes
// derive this.
func TestAggregatorsHaveTheLargestLinks(t *testing.T) {
	var nodes []Peer
	for number := range 40 {
		peer := Peer{VM: definer.VM(fmt.Sprintf("n%02d", number)), DataCentre: "west", Link: 10}
		if number%15 == 7 {
			peer.Link = 200
		}
		nodes = append(nodes, peer)
	}
	for _, self := range nodes {
		groups, own := formGroups(self.VM, nodes)
		assert.Equal(t, len(groups), 3)
		for _, group := range groups {
			assert.Equal(t, group[0].Link, 200)
		}
		assert.Assert(t, own >= 0)
	}
}
