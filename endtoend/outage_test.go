package endtoend_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
)

// TestOrderDeskWithoutPlatform takes the platform away, in both ways it goes:
// keys that the nodes hand out keep the order desk going, each run once.
func TestOrderDeskWithoutPlatform(t *testing.T) {
	const orders = 20
	for _, hang := range []bool{false, true} {
		t.Run(fmt.Sprintf("hang=%v", hang), func(t *testing.T) {
			t.Parallel()
			system := startShape(t, shape{entries: []string{west, west, east}, engines: []string{west}})
			system.platformFaults(map[string]any{"outage": true, "outageHang": hang})
			for index := range orders {
				giver := system.entries[index%len(system.entries)]
				taker := system.entries[(index/2)%len(system.entries)]
				key := giver.issue(t)
				first := taker.send(reservation(key))
				assert.Assert(t, first.Whole, "%s, handed out by %s, sent to %s: %v", key, giver.name, taker.name, first)
				again := giver.send(reservation(key))
				assert.Equal(t, again.Body, first.Body)
				assert.Equal(t, system.runs(key), 1)
			}
			chosen := system.entries[0].send(reservation("chosen-by-the-client"))
			assert.Assert(t, !chosen.Whole && chosen.Code == "platformAway" && chosen.RetryAfter() != "", "%v", chosen)
			assert.Equal(t, system.runs("chosen-by-the-client"), 0)
			offered := system.entries[1].send(reservation(chosen.Offer()))
			assert.Assert(t, offered.Whole && system.runs(chosen.Offer()) == 1, "%q: %v", chosen.Offer(), offered)

			holder, other := system.entries[0], system.entries[1]
			used, unused := holder.issue(t), holder.issue(t)
			assert.Assert(t, holder.send(reservation(used)).Whole)
			holder.process.Kill()
			for _, key := range []string{used, unused} {
				got := other.send(reservation(key))
				assert.Assert(t, !got.Whole && !got.NotRun(), "%s: %v", key, got)
			}
			holder.start()
			eventually(t, startLimit, "the holder's next process serves", holder.ready)
			for _, key := range []string{used, unused} {
				got := other.send(reservation(key))
				assert.Assert(t, !got.Whole && !got.NotRun(), "%s: %v", key, got)
			}
			assert.Equal(t, system.runs(used), 1)
			assert.Equal(t, system.runs(unused), 0)
			system.platformFaults(map[string]any{"outage": false})
			back := other.settle("chosen-by-the-client")
			assert.Assert(t, back.Whole && system.runs("chosen-by-the-client") == 1, "%v", back)
		})
	}
}

// issue returns a key that the entry hands out.
func (entry *entry) issue(t *testing.T) string {
	t.Helper()
	got := entry.send(of(buttonsKey, caller.Call{Path: "/v1/keys", Body: http.NoBody}))
	assert.Equal(t, got.Status, http.StatusCreated, "%v", got)
	return gjson.Get(got.Body, "key").String()
}
