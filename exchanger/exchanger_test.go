package exchanger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

// recordingSender keeps the addresses that it was to send to.
type recordingSender struct{ sent chan string }

func (sender *recordingSender) Send(_ context.Context, address string, _ messenger.Message) {
	sender.sent <- address
}

// TestRunTellsPeersOnly holds that reports go to the listed peers, not to the node
// itself or to one that was removed, and to a bounded number of them.
func TestRunTellsPeersOnly(t *testing.T) {
	sender := &recordingSender{sent: make(chan string, 64)}
	exchange := exchanger.New("self", selector.New("west"), sender)
	list := []exchanger.Peer{{VM: "self", Address: "self"}, {VM: "gone", Address: "gone"}}
	for index := range 20 {
		list = append(list, exchanger.Peer{VM: definer.VM(fmt.Sprint(index)), Address: "peer"})
	}
	exchange.Replace(list, false)
	exchange.Apply([]exchanger.PeerChange{{Peer: exchanger.Peer{VM: "gone"}, Removed: true}}, false)
	assert.Equal(t, exchange.Count(), 20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		exchange.Run(ctx)
		close(done)
	}()
	assert.Equal(t, <-sender.sent, "peer")
	time.AfterFunc(50*time.Millisecond, cancel)
	<-done
	assert.Assert(t, len(sender.sent) < 20, "%d reports at once", len(sender.sent))
	for len(sender.sent) > 0 {
		assert.Equal(t, <-sender.sent, "peer")
	}
}

func TestReceiveTakesInLoadReports(t *testing.T) {
	choice := selector.New("west")
	exchange := exchanger.New("self", choice, &recordingSender{})
	exchange.Receive(definer.Member{VM: "peer"}, "west", &messenger.Heartbeat{})
	exchange.Receive(definer.Member{VM: "peer"}, "west", &messenger.LoadReport{
		Loads: []messenger.UpstreamLoad{{Upstream: "u", InFlight: 1, HasHeard: true}},
	})
	assert.Equal(t, len(choice.Report(time.Now()).Loads), 0, "a node reports its own requests only")
}
