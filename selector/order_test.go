package selector

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/registrar"
)

// TestOrderFollowsTheList guards against the order of a list that is no longer valid: engines are
// added, replaced, moved within the list and removed.
func TestOrderFollowsTheList(t *testing.T) {
	one, two, three, four := &registrar.Upstream{ID: "i-1"}, &registrar.Upstream{ID: "i-2"}, &registrar.Upstream{ID: "i-3"}, &registrar.Upstream{ID: "i-4"}
	var kept engineOrder
	for _, list := range [][]*registrar.Upstream{{one, two}, {one, two, three}, {one, two, four}, {four, two, one}, {four}, nil, {one, two}} {
		var fresh engineOrder
		assert.Assert(t, slices.Equal(kept.positionsOf(list), fresh.positionsOf(list)))
		assert.Equal(t, len(kept.positionsOf(list)), len(list))
	}
}
