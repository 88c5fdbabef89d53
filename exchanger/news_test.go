package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

// silentSender is a Sender for tests that send nothing.
type silentSender struct{ Sender }

// TestNewsUnderWayAreNotRepeated checks that entries are sent once to a member that lacks
// them, again only if it has not acknowledged them for a while, and that the next entries
// follow as soon as it has. A link of 10 Mbit/s takes longer than an interval to carry
// what 15 members lack after many changes; entries repeated in each interval would never
// get through.
func TestNewsUnderWayAreNotRepeated(t *testing.T) {
	known := &fakeKnowledge{upTo: 5}
	self := Peer{VM: "a", DataCentre: "west", Address: "a"}
	aggregator := New(self, selector.New("west"), silentSender{}, WithKnowledge(known))
	aggregator.Replace([]Peer{self, {VM: "b", DataCentre: "west", Address: "b"}})
	now := time.Now()
	hears := func(upTo uint64) {
		aggregator.receive(now, definer.Member{VM: "b"}, &messenger.LoadReport{
			Scope: messenger.MemberLoad, Positions: &messenger.Positions{Peers: chronicler.Position{UpTo: upTo}},
		})
	}
	// tells runs one interval and returns the position up to which the member is sent
	// entries, 0 for none.
	tells := func() uint64 {
		now = now.Add(interval)
		aggregator.compose(now, memberStage)
		for _, outgoing := range aggregator.compose(now, fleetStage) {
			if outgoing.report.News != nil {
				return outgoing.report.News.Peers.To
			}
		}
		return 0
	}
	hears(1)
	assert.Equal(t, tells(), uint64(5))
	hears(1)
	assert.Equal(t, tells(), uint64(0), "the entries are in transit")
	hears(1)
	assert.Equal(t, tells(), uint64(0), "the entries are in transit")
	for range newsRetryDelay / interval {
		hears(1)
		if tells() == 5 {
			known.upTo = 9
			hears(5)
			assert.Equal(t, tells(), uint64(9), "the next entries are sent at once")
			return
		}
	}
	t.Fatal("lost entries are not sent again")
}
