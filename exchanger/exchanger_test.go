package exchanger_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

// recordingSender records the addresses that it is asked to send to.
type recordingSender struct{ sent chan string }

func (sender *recordingSender) Send(_ context.Context, address string, _ messenger.Message) {
	sender.sent <- address
}

// TestRunTellsPeersOnly checks that reports go to listed peers only, and not to the node
// itself or to a node that was removed.
func TestRunTellsPeersOnly(t *testing.T) {
	sender := &recordingSender{sent: make(chan string, 64)}
	exchange := exchanger.New(exchanger.Peer{VM: "self", DataCentre: "west"}, selector.New("west"), sender)
	exchange.Replace([]exchanger.Peer{
		{VM: "self", DataCentre: "west", Address: "self"},
		{VM: "gone", DataCentre: "east", Address: "gone"},
		{VM: "other", DataCentre: "east", Address: "other"},
		{VM: "third", DataCentre: "north", Address: "third"},
	})
	exchange.Apply([]exchanger.PeerChange{{Peer: exchanger.Peer{VM: "gone"}, Removed: true}})
	assert.Equal(t, exchange.PeerCount(), 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		exchange.Run(ctx)
		close(done)
	}()
	told := map[string]bool{<-sender.sent: true, <-sender.sent: true}
	cancel()
	<-done
	assert.DeepEqual(t, told, map[string]bool{"other": true, "third": true})
}

func TestReceiveTakesInLoadReports(t *testing.T) {
	choice := selector.New("west")
	exchange := exchanger.New(exchanger.Peer{VM: "self"}, choice, &recordingSender{})
	exchange.Receive(definer.Member{VM: "peer"}, "west", &messenger.Heartbeat{})
	exchange.Receive(definer.Member{VM: "peer"}, "west", &messenger.LoadReport{
		Loads: []messenger.UpstreamLoad{{Upstream: "u", InFlight: 1, HasHeard: true}},
	})
	assert.Equal(t, len(choice.Report(time.Now()).Loads), 0, "a node reports its own requests only")
}
