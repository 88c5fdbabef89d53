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
	"limpetcleat/throttler"
)

// issuances is an operator.Issuer with fixed issuances.
type issuances []throttler.Issuance

// Issuances returns them.
func (issuances issuances) Issuances(time.Time) []throttler.Issuance { return issuances }

// TestAnnouncementsAreShown checks the list of announcements: the limit, the source and the age
// of each, and the permits that the node issues. Announcements without contents are not listed.
func TestAnnouncementsAreShown(t *testing.T) {
	known, now := announcer.New(), time.Now()
	first := definer.UpstreamStart{Upstream: "u1", Incarnation: 7}
	known.Record(now.Add(-time.Hour), first, now.Add(-time.Hour), announcer.Announcement{Limit: definer.LimitTo(2.2)})
	known.Learn(now, "entry-2", []messenger.UpstreamAnnouncement{{Upstream: "u2", Leaving: true, Age: time.Minute}})
	known.Record(now, definer.UpstreamStart{Upstream: "u3"}, now, announcer.Announcement{})
	entry := operator.NewEntry(quarantiner.New(), (&journal{}).log)
	entry.ServeAnnounced(known, issuances{{Start: first, PerSecond: 0.7, Position: 1, Waiting: 3}})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	answers := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "").Announced(context.Background())
	assert.NilError(t, answers[0].Failure())
	rows := answers[0].Value()
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, rows[0].AgeMs >= time.Hour.Milliseconds() && rows[1].AgeMs >= time.Minute.Milliseconds())
	rows[0].AgeMs, rows[1].AgeMs = 0, 0
	assert.DeepEqual(t, rows, []operator.Announced{
		{Upstream: "u1#7", LimitPerSecond: 2.2, Limited: true, Issues: true, PermitsPerSecond: 0.7, Position: 1, Waiting: 3},
		{Upstream: "u2", Leaving: true, Source: "entry-2"},
	})
}
