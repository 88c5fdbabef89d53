package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

func entry(id definer.UpstreamName, revision uint64, leaving bool) registrar.Upstream {
	return registrar.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Leaving: leaving, Revision: revision}
}

func ids(list *registrar.Registrar) []definer.UpstreamName {
	var found []definer.UpstreamName
	for _, upstream := range list.Of("s") {
		found = append(found, upstream.ID)
	}
	return found
}

func TestApplyFollowsTheList(t *testing.T) {
	list := registrar.New()
	assert.Assert(t, !list.Known())
	list.Replace(time.Time{}, []registrar.Upstream{entry("b", 1, false), entry("a", 2, false)}, false)
	assert.Assert(t, list.Known())
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"a", "b"})

	list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("a", 5, true)}}, false)
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"b"})
	// An older entry never brings a leaving upstream back.
	assert.Equal(t, len(list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("a", 2, false)}}, false)), 0)
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"b"})

	list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("b", 6, false), Removed: true}}, false)
	assert.Equal(t, len(ids(list)), 0)
}

func TestMissingAfterAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	list := registrar.New()
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false), entry("c", 3, true)}, false)

	// Without an outage a missing entry is gone at once.
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false)}, false)
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"a", "b"})

	list.Replace(start, nil, true)
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"a", "b"})
	list.Apply(start, []registrar.Change{{Upstream: entry("b", 9, false)}, {Upstream: entry("a", 1, false), Removed: true}}, true)
	changes, next := list.Sweep(start.Add(registrar.LapsePatience - 1))
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, next, start.Add(registrar.LapsePatience))
	changes, next = list.Sweep(start.Add(registrar.LapsePatience))
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, next.IsZero())
	assert.DeepEqual(t, ids(list), []definer.UpstreamName{"b"})
}
