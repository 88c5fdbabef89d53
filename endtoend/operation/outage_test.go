package operation_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/tester"
)

// TestOrderDeskWithoutPlatform makes the platform unavailable, either refusing calls or leaving
// them without a response: with keys that the nodes issue, the order desk keeps working and each
// key runs once.
func TestOrderDeskWithoutPlatform(t *testing.T) {
	const orders = 20
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang=%v", hang), func(t *testing.T) {
			t.Parallel()
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West, tester.East}, Engines: []string{tester.West}})
			system.SetPlatformFaults(map[string]any{"outage": true, "outageHang": hang})
			for index := range orders {
				issuer := system.Entries[index%len(system.Entries)]
				receiver := system.Entries[(index/2)%len(system.Entries)]
				key := issueKey(t, issuer)
				first := receiver.Send(tester.Reservation(key))
				assert.Assert(t, first.Complete, "%s, issued by %s, sent to %s: %v", key, issuer.Name, receiver.Name, first)
				again := issuer.Send(tester.Reservation(key))
				assert.Equal(t, again.Body, first.Body)
				assert.Equal(t, system.RunCount(key), 1)
			}
			chosen := system.Entries[0].Send(tester.Reservation("chosen-by-the-client"))
			assert.Assert(t, !chosen.Complete && chosen.Code == "platformAway" && chosen.RetryAfter() != "", "%v", chosen)
			assert.Equal(t, system.RunCount("chosen-by-the-client"), 0)
			offered := system.Entries[1].Send(tester.Reservation(chosen.OfferedKey()))
			assert.Assert(t, offered.Complete && system.RunCount(chosen.OfferedKey()) == 1, "%q: %v", chosen.OfferedKey(), offered)

			holder, other := system.Entries[0], system.Entries[1]
			used, unused := issueKey(t, holder), issueKey(t, holder)
			assert.Assert(t, holder.Send(tester.Reservation(used)).Complete)
			holder.Process.Kill()
			for _, key := range []string{used, unused} {
				reply := other.Send(tester.Reservation(key))
				assert.Assert(t, !reply.Complete && !reply.NotRun(), "%s: %v", key, reply)
			}
			holder.Start()
			tester.Eventually(t, tester.StartTimeout, "the restarted issuer is ready", holder.Ready)
			for _, key := range []string{used, unused} {
				reply := other.Send(tester.Reservation(key))
				assert.Assert(t, !reply.Complete && !reply.NotRun(), "%s: %v", key, reply)
			}
			assert.Equal(t, system.RunCount(used), 1)
			assert.Equal(t, system.RunCount(unused), 0)
			system.SetPlatformFaults(map[string]any{"outage": false})
			back := other.SendUntilSettled("chosen-by-the-client")
			assert.Assert(t, back.Complete && system.RunCount("chosen-by-the-client") == 1, "%v", back)
		})
	}
}

// issueKey returns an idempotency key that the entry issues.
func issueKey(t *testing.T, entry *tester.Entry) string {
	t.Helper()
	reply := entry.Send(tester.WithAPIKey(tester.ButtonsAPIKey, caller.Call{Path: "/v1/keys", Body: http.NoBody}))
	assert.Equal(t, reply.Status, http.StatusCreated, "%v", reply)
	return gjson.Get(reply.Body, "key").String()
}
