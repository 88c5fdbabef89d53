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

// silentSender drops what is sent.
type silentSender struct{ Sender }

// TestNewsUnderWayAreNotRepeated holds that a member which lacks entries is told them once,
// again only after a time in which it did not say that it has them, and the next ones as
// soon as it does. A link of 10 Mbit/s takes longer than an interval for what 15 members
// lack after many changes: told again at each interval it never gets through.
func TestNewsUnderWayAreNotRepeated(t *testing.T) {
	known := &numbered{upTo: 5}
	self := Peer{VM: "a", DataCentre: "west", Address: "a"}
	aggregator := New(self, selector.New("west"), silentSender{}, WithKnowledge(known))
	aggregator.Replace([]Peer{self, {VM: "b", DataCentre: "west", Address: "b"}})
	now := time.Now()
	hears := func(upTo uint64) {
		aggregator.receive(now, definer.Member{VM: "b"}, &messenger.LoadReport{
			Scope: messenger.MemberLoad, Positions: &messenger.Positions{Peers: chronicler.Position{UpTo: upTo}},
		})
	}
	// tells lets an interval pass and returns up to where the member is told, 0 for nothing.
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
	assert.Equal(t, tells(), uint64(0), "it is under way")
	hears(1)
	assert.Equal(t, tells(), uint64(0), "it is under way")
	for range newsPatience / interval {
		hears(1)
		if tells() == 5 {
			known.upTo = 9
			hears(5)
			assert.Equal(t, tells(), uint64(9), "what comes next is told at once")
			return
		}
	}
	t.Fatal("what was lost is not told again")
}
