package messenger_test

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/authority"
	"limpetcleat/standin/relay"
)

const (
	limit     = 20 * time.Second
	pollEvery = 5 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is a messenger with the messages it received and the reports it made.
type endpoint struct {
	*messenger.Messenger
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	address string
	mutex   sync.Mutex
	// targets holds the targets of the heartbeats received, in order.
	targets  []string
	reports  []messenger.Report
	sent     atomic.Int64
	received atomic.Int64
}

// startEndpoint starts a messenger on the address; its stop ends the messenger and waits
// until it is done.
func startEndpoint(t *testing.T, address string, options ...messenger.Option) *endpoint {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	endpoint := &endpoint{t: t, ctx: ctx, address: listener.Addr().String()}
	endpoint.Messenger = messenger.New(definer.Member{VM: "vm-" + definer.VM(endpoint.address)}, "west", endpoint.take, append([]messenger.Option{
		messenger.WithReports(endpoint.report),
		messenger.WithCounts(
			func(_, bytes int) { endpoint.sent.Add(int64(bytes)) },
			func(_, bytes int) { endpoint.received.Add(int64(bytes)) }),
	}, options...)...)
	endpoint.Start(ctx, listener)
	endpoint.stop = func() {
		cancel()
		<-endpoint.Done()
	}
	t.Cleanup(endpoint.stop)
	return endpoint
}

func (endpoint *endpoint) take(_ definer.Member, _ definer.DataCentre, message messenger.Message) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if heartbeat, ok := message.(*messenger.Heartbeat); ok {
		endpoint.targets = append(endpoint.targets, string(heartbeat.Target))
	}
}

func (endpoint *endpoint) report(report messenger.Report) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.reports = append(endpoint.reports, report)
}

func (endpoint *endpoint) receivedTargets() []string {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return append([]string(nil), endpoint.targets...)
}

// countReports returns the number of reports of a kind.
func (endpoint *endpoint) countReports(kind messenger.ReportKind) int {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	count := 0
	for _, report := range endpoint.reports {
		if report.Kind == kind {
			count++
		}
	}
	return count
}

func (endpoint *endpoint) say(to *endpoint, text string) {
	endpoint.Send(endpoint.ctx, to.address, &messenger.Heartbeat{Target: definer.VM(text)})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(pollEvery))
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	const count = 2000
	first, second := startEndpoint(t, "127.0.0.1:0"), startEndpoint(t, "127.0.0.1:0")
	var wanted []string
	for index := range count {
		wanted = append(wanted, strconv.Itoa(index))
		first.say(second, strconv.Itoa(index))
	}
	eventually(t, "all messages arrive", func() bool { return len(second.receivedTargets()) == count })
	assert.DeepEqual(t, second.receivedTargets(), wanted)
}

func TestSendNeverBlocks(t *testing.T) {
	// The listener never accepts, so that the connection opens but the peer is silent.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	sender := startEndpoint(t, "127.0.0.1:0", messenger.WithTimeout(time.Hour))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * 4096 {
			sender.Send(sender.ctx, listener.Addr().String(), &messenger.Heartbeat{})
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatal("Send blocks on a peer that accepts nothing")
	}
}

func TestPeerIsReachedAgainAfterItsRestart(t *testing.T) {
	sender := startEndpoint(t, "127.0.0.1:0")
	first := startEndpoint(t, "127.0.0.1:0")
	sender.say(first, "one")
	eventually(t, "the first message", func() bool { return len(first.receivedTargets()) == 1 })
	first.stop()
	eventually(t, "the loss is reported", func() bool {
		sender.say(first, "lost")
		return sender.countReports(messenger.PeerLost) > 0
	})
	second := startEndpoint(t, first.address)
	eventually(t, "a message after the restart", func() bool {
		sender.say(second, "again")
		return len(second.receivedTargets()) > 0
	})
	eventually(t, "the return is reported", func() bool { return sender.countReports(messenger.PeerBack) == 1 })
	assert.Equal(t, sender.countReports(messenger.PeerLost), 1, "one loss is reported once")
}

func TestCountsAreWireBytes(t *testing.T) {
	ours := newAuthority(t)
	first := startEndpoint(t, "127.0.0.1:0", secure(t, ours, authority.NodeServerName))
	second := startEndpoint(t, "127.0.0.1:0", secure(t, ours, authority.NodeServerName))
	counting, address := startRelay(t, second.address)
	first.Send(first.ctx, address, &messenger.Heartbeat{Target: "hello"})
	eventually(t, "the message", func() bool { return len(second.receivedTargets()) == 1 })
	eventually(t, "equal counts", func() bool {
		toTarget, toPeer := counting.ForwardedBytes(relay.ToTarget), counting.ForwardedBytes(relay.ToPeer)
		return first.sent.Load() == toTarget && second.received.Load() == toTarget &&
			second.sent.Load() == toPeer && first.received.Load() == toPeer
	})
	assert.Assert(t, counting.ForwardedBytes(relay.ToTarget) > int64(len("hello")))
}

func TestUnprovenPeersAreRejected(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	cases := []struct {
		name   string
		client messenger.Option
	}{
		{"without a certificate", messenger.WithTLS(nil, &tls.Config{RootCAs: ours.Pool(), ServerName: authority.NodeServerName, MinVersion: tls.VersionTLS13})},
		{"of another authority", messenger.WithTLS(nil, trusting(t, stranger, ours))},
		{"without TLS", messenger.WithTLS(nil, nil)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startEndpoint(t, "127.0.0.1:0", secure(t, ours, authority.NodeServerName))
			client := startEndpoint(t, "127.0.0.1:0", test.client)
			client.say(server, "let me in")
			eventually(t, "the rejection is reported", func() bool { return server.countReports(messenger.PeerRejected) > 0 })
			eventually(t, "the loss is reported", func() bool { return client.countReports(messenger.PeerLost) == 1 })
			assert.Equal(t, len(server.receivedTargets()), 0)
		})
	}
}

func TestPeerUnderAnotherNameIsNotTalkedTo(t *testing.T) {
	ours := newAuthority(t)
	server := startEndpoint(t, "127.0.0.1:0", secure(t, ours, "another-name"))
	client := startEndpoint(t, "127.0.0.1:0", secure(t, ours, authority.NodeServerName))
	client.say(server, "secret")
	eventually(t, "the loss is reported", func() bool { return client.countReports(messenger.PeerLost) == 1 })
	assert.Equal(t, len(server.receivedTargets()), 0)
}

// TestSilentConnectionsAreClosed opens connections that send no handshake or no
// message: messages of other peers must be delivered meanwhile, and the silent
// connections must be closed.
func TestSilentConnectionsAreClosed(t *testing.T) {
	ours := newAuthority(t)
	cases := []struct {
		name    string
		options []messenger.Option
	}{
		{"TLS", []messenger.Option{secure(t, ours, authority.NodeServerName)}},
		{"plain", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startEndpoint(t, "127.0.0.1:0", append(test.options, messenger.WithHandshakeTimeout(300*time.Millisecond))...)
			var silent []net.Conn
			for range 20 {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.address)
				assert.NilError(t, err)
				defer conn.Close()
				silent = append(silent, conn)
			}
			client := startEndpoint(t, "127.0.0.1:0", test.options...)
			client.say(server, "past them")
			eventually(t, "the message", func() bool { return len(server.receivedTargets()) == 1 })
			for _, conn := range silent {
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
				_, err := conn.Read(make([]byte, 1))
				var timeout net.Error
				assert.Assert(t, err != nil)
				assert.Assert(t, !errorsAs(err, &timeout) || !timeout.Timeout(), "the server did not close a silent connection")
			}
			eventually(t, "a rejection is reported", func() bool { return server.countReports(messenger.PeerRejected) > 0 })
		})
	}
}
