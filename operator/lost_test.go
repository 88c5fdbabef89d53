package operator_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
)

// TestLostIsShown checks that operators see which upstreams are presumed lost and by whose evidence,
// and evidence that does not suffice.
func TestLostIsShown(t *testing.T) {
	known, now := corroborator.New("entry-1"), time.Now()
	known.RecordFailure(now, definer.UpstreamStart{Upstream: "u1", Incarnation: 7}, messenger.EvidenceRefused)
	known.Learn(now, "entry-2", &messenger.LoadReport{Evidence: []messenger.UpstreamEvidence{
		{Upstream: "u1", Incarnation: 7, Kind: messenger.EvidenceReplaced, Witness: "entry-2", Age: 50 * time.Millisecond},
		{Upstream: "u2", Kind: messenger.EvidenceReset, Witness: "entry-2"},
	}})
	entry := operator.NewEntry(quarantiner.New(), (&journal{}).log)
	entry.ServeLost(known)
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	answers := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "").Lost(context.Background())
	assert.NilError(t, answers[0].Failure())
	rows := answers[0].Value()
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, rows[0].LeftMs > 0 && rows[0].LeftMs <= 950 && rows[0].Witnesses[1].AgeMs >= 50)
	for index := range rows {
		rows[index].SinceMs, rows[index].LeftMs, rows[index].ProbeInMs = 0, 0, 0
		for place := range rows[index].Witnesses {
			rows[index].Witnesses[place].AgeMs = 0
		}
	}
	assert.DeepEqual(t, rows, []operator.Lost{
		{Upstream: "u1#7", Presumed: true, Witnesses: []operator.LossWitness{{Node: "entry-1", Kind: "refused"}, {Node: "entry-2", Kind: "replaced"}}},
		{Upstream: "u2", Witnesses: []operator.LossWitness{{Node: "entry-2", Kind: "reset"}}},
	})
}
