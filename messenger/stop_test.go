package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestStopEndsConnectionsOfAllSenders guards against a planned stop that hangs: a connection to a peer
// lived as long as the context of the message that opened it.
func TestStopEndsConnectionsOfAllSenders(t *testing.T) {
	taken := make(chan bool, 1)
	address := startReceiver(t, taken, nil)
	sender := messenger.New(definer.Member{VM: "entry-1"}, "west", nil)
	ctx, stop := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sender.Start(ctx, listener)
	sender.Send(context.Background(), address, &messenger.Heartbeat{})
	<-taken
	stop()
	select {
	case <-sender.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the messenger has not ended")
	}
}
