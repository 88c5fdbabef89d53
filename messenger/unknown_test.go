package messenger_test

import (
	"context"
	"net"
	"net/rpc"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Guards against load reports that are lost because the same envelope holds a message that only later
// versions know.
func TestUnknownMessageDoesNotRejectItsEnvelope(t *testing.T) {
	received := make(chan messenger.Message, 2)
	node := messenger.New(definer.Member{VM: "b"}, "west", func(_ definer.Member, _ definer.DataCentre, message messenger.Message) { received <- message })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node.Start(ctx, listener)
	defer func() {
		cancel()
		<-node.Done()
	}()
	client, err := rpc.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	known := messenger.Wrap(&messenger.LoadReport{Nodes: 3})
	envelope := &messenger.Envelope{From: definer.Member{VM: "a"}, Frames: []messenger.Frame{{}, known}}
	assert.NilError(t, client.Call("Inner.Deliver", envelope, &messenger.Receipt{}))
	report, ok := (<-received).(*messenger.LoadReport)
	assert.Assert(t, ok && report.Nodes == 3)
}
