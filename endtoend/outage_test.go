package endtoend_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
)

// TestOrderDeskWithoutPlatform makes the platform unavailable, either refusing calls or leaving
// them without a response: with keys that the nodes issue, the order desk keeps working and each
// key runs once.
func TestOrderDeskWithoutPlatform(t *testing.T) {
	const orders = 20
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang=%v", hang), func(t *testing.T) {
			t.Parallel()
			system := startTopology(t, topology{entries: []string{west, west, east}, engines: []string{west}})
			system.setPlatformFaults(map[string]any{"outage": true, "outageHang": hang})
			for index := range orders {
				issuer := system.entries[index%len(system.entries)]
				receiver := system.entries[(index/2)%len(system.entries)]
				key := issuer.issueKey(t)
				first := receiver.send(reservation(key))
				assert.Assert(t, first.Complete, "%s, issued by %s, sent to %s: %v", key, issuer.name, receiver.name, first)
				again := issuer.send(reservation(key))
				assert.Equal(t, again.Body, first.Body)
				assert.Equal(t, system.runCount(key), 1)
			}
			chosen := system.entries[0].send(reservation("chosen-by-the-client"))
			assert.Assert(t, !chosen.Complete && chosen.Code == "platformAway" && chosen.RetryAfter() != "", "%v", chosen)
			assert.Equal(t, system.runCount("chosen-by-the-client"), 0)
			offered := system.entries[1].send(reservation(chosen.OfferedKey()))
			assert.Assert(t, offered.Complete && system.runCount(chosen.OfferedKey()) == 1, "%q: %v", chosen.OfferedKey(), offered)

			holder, other := system.entries[0], system.entries[1]
			used, unused := holder.issueKey(t), holder.issueKey(t)
			assert.Assert(t, holder.send(reservation(used)).Complete)
			holder.process.Kill()
			for _, key := range []string{used, unused} {
				reply := other.send(reservation(key))
				assert.Assert(t, !reply.Complete && !reply.NotRun(), "%s: %v", key, reply)
			}
			holder.start()
			eventually(t, startTimeout, "the restarted issuer is ready", holder.ready)
			for _, key := range []string{used, unused} {
				reply := other.send(reservation(key))
				assert.Assert(t, !reply.Complete && !reply.NotRun(), "%s: %v", key, reply)
			}
			assert.Equal(t, system.runCount(used), 1)
			assert.Equal(t, system.runCount(unused), 0)
			system.setPlatformFaults(map[string]any{"outage": false})
			back := other.sendUntilSettled("chosen-by-the-client")
			assert.Assert(t, back.Complete && system.runCount("chosen-by-the-client") == 1, "%v", back)
		})
	}
}

// issueKey returns an idempotency key that the entry issues.
func (entry *entry) issueKey(t *testing.T) string {
	t.Helper()
	reply := entry.send(withAPIKey(buttonsAPIKey, caller.Call{Path: "/v1/keys", Body: http.NoBody}))
	assert.Equal(t, reply.Status, http.StatusCreated, "%v", reply)
	return gjson.Get(reply.Body, "key").String()
}
