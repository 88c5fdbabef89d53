package selector

import (
	"cmp"
	"slices"

	"limpetcleat/definer"
	"limpetcleat/ranker"
	"limpetcleat/registrar"
)

// engineOrder is the order of a list of engines by the hashes of their names. It is kept from one
// choice to the next, because the list seldom changes.
type engineOrder struct {
	engines []definer.UpstreamName
	// positions holds the position of each of the engines.
	positions []int
}

// positionsOf returns the position of each candidate in the order. The caller must not modify it.
func (engineOrder *engineOrder) positionsOf(candidates []*registrar.Upstream) []int {
	if engineOrder.describes(candidates) {
		return engineOrder.positions
	}
	type placed struct {
		index  int
		weight uint64
	}
	sorted := make([]placed, len(candidates))
	engineOrder.engines = make([]definer.UpstreamName, len(candidates))
	for index, upstream := range candidates {
		engineOrder.engines[index] = upstream.ID
		sorted[index] = placed{index, ranker.Weight("", string(upstream.ID))}
	}
	slices.SortFunc(sorted, func(left, right placed) int { return cmp.Compare(left.weight, right.weight) })
	engineOrder.positions = make([]int, len(candidates))
	for place, engine := range sorted {
		engineOrder.positions[engine.index] = place
	}
	return engineOrder.positions
}

// describes reports whether the order is that of the candidates.
func (engineOrder *engineOrder) describes(candidates []*registrar.Upstream) bool {
	return slices.EqualFunc(engineOrder.engines, candidates, func(known definer.UpstreamName, upstream *registrar.Upstream) bool {
		return known == upstream.ID
	})
}
