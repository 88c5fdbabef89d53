package ranker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/ranker"
)

// TestWeightsSpreadKeysEvenly checks that each of several nodes with similar names is the first
// choice for about as many keys.
func TestWeightsSpreadKeysEvenly(t *testing.T) {
	const names, keys = 8, 8000
	first := make(map[string]int)
	for key := range keys {
		best, highest := "", uint64(0)
		for name := range names {
			node := fmt.Sprintf("entry-%d", name)
			if weight := ranker.Weight(fmt.Sprintf("u%d", key), node); best == "" || weight > highest {
				best, highest = node, weight
			}
		}
		first[best]++
	}
	for node, count := range first {
		assert.Check(t, count > keys/names*8/10 && count < keys/names*12/10, "%s: %d", node, count)
	}
}
