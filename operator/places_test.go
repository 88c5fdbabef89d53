package operator_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
)

// TestPlacesAreShown guards against limits and rejections that operators cannot see: which service,
// since when, by which node, and the room of each upstream whose permits the node issues.
func TestPlacesAreShown(t *testing.T) {
	known, now := announcer.New(), time.Now()
	known.LearnRejectionLimits(now, "entry-2", []messenger.RejectionLimit{{Service: "desk", PerSecond: 6, Limited: true, Age: time.Second, Since: time.Minute}}, true)
	entry := operator.NewEntry(quarantiner.New(), (&journal{}).log)
	entry.ServePlaces(known, issuances{
		{Start: definer.UpstreamStart{Upstream: "u1", Incarnation: 7}, Service: "desk", Placed: true, Room: 5, InUse: 4, Waiting: 2, Rejected: 1, RoomAge: time.Second, Denied: 3},
		{Start: definer.UpstreamStart{Upstream: "u2"}, PerSecond: 2},
		{Start: definer.UpstreamStart{Upstream: "u3"}, Connections: true, Room: 14, InUse: 9, Waiting: 1, Denied: 2, Position: 1},
	})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	answers := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "").Places(context.Background())
	assert.NilError(t, answers[0].Failure())
	places := answers[0].Value()
	assert.Equal(t, len(places.Services), 1)
	assert.Assert(t, places.Services[0].ForMs >= time.Minute.Milliseconds() && places.Services[0].AgeMs >= time.Second.Milliseconds())
	places.Services[0].ForMs, places.Services[0].AgeMs = 0, 0
	assert.DeepEqual(t, places, operator.Places{
		Services:    []operator.RejectionLimit{{Service: "desk", PerSecond: 6, Source: "entry-2"}},
		Upstreams:   []operator.PlacedUpstream{{Upstream: "u1#7", Service: "desk", Room: 5, InUse: 4, Waiting: 2, Rejected: 1, RoomAgeMs: 1000, Denied: 3}},
		Connections: []operator.ConnectedUpstream{{Upstream: "u3", Pool: 14, InUse: 9, Waiting: 1, Denied: 2, Position: 1}},
	})
}
