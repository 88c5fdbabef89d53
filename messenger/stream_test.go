package messenger_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/messenger"
	"limpetcleat/standin/authority"
)

// TestStreamsBesideMessages checks that streams and messages reach the same address, with and without
// TLS, and that a node which serves no streams closes them.
func TestStreamsBesideMessages(t *testing.T) {
	issuer := newAuthority(t)
	for name, options := range map[string][]messenger.Option{"plain": nil, "TLS": {secure(t, issuer, authority.NodeServerName)}} {
		t.Run(name, func(t *testing.T) {
			echo := messenger.WithStreams(func(_ context.Context, conn net.Conn) {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
			serving := startEndpoint(t, "127.0.0.1:0", append(options, echo)...)
			plain := startEndpoint(t, "127.0.0.1:0", options...)
			defer plain.stop()
			defer serving.stop()
			stream, err := plain.OpenStream(t.Context(), serving.address)
			assert.NilError(t, err)
			defer stream.Close()
			assert.NilError(t, stream.SetDeadline(time.Now().Add(limit)))
			plain.Send(plain.ctx, serving.address, &messenger.Heartbeat{Target: "t"})
			_, err = stream.Write([]byte("text"))
			assert.NilError(t, err)
			echoed := make([]byte, 4)
			_, err = io.ReadFull(stream, echoed)
			assert.NilError(t, err)
			assert.Equal(t, string(echoed), "text")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				serving.mutex.Lock()
				defer serving.mutex.Unlock()
				if len(serving.targets) == 0 {
					return poll.Continue("no message arrived")
				}
				return poll.Success()
			}, poll.WithTimeout(limit), poll.WithDelay(pollEvery))

			rejected, err := serving.OpenStream(t.Context(), plain.address)
			assert.NilError(t, err)
			defer rejected.Close()
			assert.NilError(t, rejected.SetDeadline(time.Now().Add(limit)))
			_, err = rejected.Read(echoed)
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}
