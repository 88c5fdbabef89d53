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

// end is one messenger with what it took in and what it reported.
type end struct {
	*messenger.Messenger
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	address string
	mutex   sync.Mutex
	// taken holds the targets of the heartbeats taken in, in order.
	taken    []string
	reports  []messenger.Report
	sent     atomic.Int64
	received atomic.Int64
}

// startEnd starts a messenger on the address; stop ends it and waits.
func startEnd(t *testing.T, address string, options ...messenger.Option) *end {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	end := &end{t: t, ctx: ctx, address: listener.Addr().String()}
	end.Messenger = messenger.New(definer.Member{VM: "vm-" + definer.VM(end.address)}, "west", end.take, append([]messenger.Option{
		messenger.WithReports(end.report),
		messenger.WithCounts(
			func(_, bytes int) { end.sent.Add(int64(bytes)) },
			func(_, bytes int) { end.received.Add(int64(bytes)) }),
	}, options...)...)
	end.Start(ctx, listener)
	end.stop = func() {
		cancel()
		<-end.Done()
	}
	t.Cleanup(end.stop)
	return end
}

func (end *end) take(_ definer.Member, _ definer.DataCentre, message messenger.Message) {
	end.mutex.Lock()
	defer end.mutex.Unlock()
	if heartbeat, ok := message.(*messenger.Heartbeat); ok {
		end.taken = append(end.taken, string(heartbeat.Target))
	}
}

func (end *end) report(report messenger.Report) {
	end.mutex.Lock()
	defer end.mutex.Unlock()
	end.reports = append(end.reports, report)
}

func (end *end) all() []string {
	end.mutex.Lock()
	defer end.mutex.Unlock()
	return append([]string(nil), end.taken...)
}

// told returns the number of reports of a kind.
func (end *end) told(kind messenger.ReportKind) int {
	end.mutex.Lock()
	defer end.mutex.Unlock()
	count := 0
	for _, report := range end.reports {
		if report.Kind == kind {
			count++
		}
	}
	return count
}

func (end *end) say(to *end, text string) {
	end.Send(end.ctx, to.address, &messenger.Heartbeat{Target: definer.VM(text)})
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
	first, second := startEnd(t, "127.0.0.1:0"), startEnd(t, "127.0.0.1:0")
	var wanted []string
	for index := range count {
		wanted = append(wanted, strconv.Itoa(index))
		first.say(second, strconv.Itoa(index))
	}
	eventually(t, "all are there", func() bool { return len(second.all()) == count })
	assert.DeepEqual(t, second.all(), wanted)
}

func TestSendNeverBlocks(t *testing.T) {
	// Nobody accepts on the listener, so that the peer is connected but silent.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	sender := startEnd(t, "127.0.0.1:0", messenger.WithTimeout(time.Hour))
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
		t.Fatal("Send blocks on a peer that takes nothing")
	}
}

func TestPeerIsReachedAgainAfterItsRestart(t *testing.T) {
	sender := startEnd(t, "127.0.0.1:0")
	first := startEnd(t, "127.0.0.1:0")
	sender.say(first, "one")
	eventually(t, "the first message", func() bool { return len(first.all()) == 1 })
	first.stop()
	eventually(t, "the loss is told", func() bool {
		sender.say(first, "lost")
		return sender.told(messenger.PeerLost) > 0
	})
	second := startEnd(t, first.address)
	eventually(t, "a message after the restart", func() bool {
		sender.say(second, "again")
		return len(second.all()) > 0
	})
	eventually(t, "the return is told", func() bool { return sender.told(messenger.PeerBack) == 1 })
	assert.Equal(t, sender.told(messenger.PeerLost), 1, "one loss is told once")
}

func TestCountsAreWireBytes(t *testing.T) {
	ours := newAuthority(t)
	first := startEnd(t, "127.0.0.1:0", secure(t, ours, authority.InnerName))
	second := startEnd(t, "127.0.0.1:0", secure(t, ours, authority.InnerName))
	counting, address := startRelay(t, second.address)
	first.Send(first.ctx, address, &messenger.Heartbeat{Target: "hello"})
	eventually(t, "the message", func() bool { return len(second.all()) == 1 })
	eventually(t, "equal counts", func() bool {
		forward, back := counting.Bytes(relay.Forward), counting.Bytes(relay.Backward)
		return first.sent.Load() == forward && second.received.Load() == forward &&
			second.sent.Load() == back && first.received.Load() == back
	})
	assert.Assert(t, counting.Bytes(relay.Forward) > int64(len("hello")))
}

func TestUnprovenPeersAreRejected(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	cases := []struct {
		name   string
		client messenger.Option
	}{
		{"without a certificate", messenger.WithTLS(nil, &tls.Config{RootCAs: ours.Pool(), ServerName: authority.InnerName, MinVersion: tls.VersionTLS13})},
		{"of another authority", messenger.WithTLS(nil, trusting(t, stranger, ours))},
		{"without TLS", messenger.WithTLS(nil, nil)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startEnd(t, "127.0.0.1:0", secure(t, ours, authority.InnerName))
			client := startEnd(t, "127.0.0.1:0", test.client)
			client.say(server, "let me in")
			eventually(t, "the rejection is told", func() bool { return server.told(messenger.PeerRejected) > 0 })
			eventually(t, "the loss is told", func() bool { return client.told(messenger.PeerLost) == 1 })
			assert.Equal(t, len(server.all()), 0)
		})
	}
}

func TestPeerUnderAnotherNameIsNotTalkedTo(t *testing.T) {
	ours := newAuthority(t)
	server := startEnd(t, "127.0.0.1:0", secure(t, ours, "another-name"))
	client := startEnd(t, "127.0.0.1:0", secure(t, ours, authority.InnerName))
	client.say(server, "secret")
	eventually(t, "the loss is told", func() bool { return client.told(messenger.PeerLost) == 1 })
	assert.Equal(t, len(server.all()), 0)
}

// TestSilentConnectionsAreClosed holds connections open without a handshake or
// a message; others must get through meanwhile and these must end.
func TestSilentConnectionsAreClosed(t *testing.T) {
	ours := newAuthority(t)
	cases := []struct {
		name    string
		options []messenger.Option
	}{
		{"TLS", []messenger.Option{secure(t, ours, authority.InnerName)}},
		{"plain", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startEnd(t, "127.0.0.1:0", append(test.options, messenger.WithHandshakeTimeout(300*time.Millisecond))...)
			var silent []net.Conn
			for range 20 {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.address)
				assert.NilError(t, err)
				defer conn.Close()
				silent = append(silent, conn)
			}
			client := startEnd(t, "127.0.0.1:0", test.options...)
			client.say(server, "past them")
			eventually(t, "the message", func() bool { return len(server.all()) == 1 })
			for _, conn := range silent {
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
				_, err := conn.Read(make([]byte, 1))
				var timeout net.Error
				assert.Assert(t, err != nil)
				assert.Assert(t, !errorsAs(err, &timeout) || !timeout.Timeout(), "the server did not close a silent connection")
			}
			eventually(t, "a rejection is told", func() bool { return server.told(messenger.PeerRejected) > 0 })
		})
	}
}
