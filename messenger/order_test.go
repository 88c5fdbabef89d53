package messenger_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
)

// startHoldingProxy starts a proxy to the target that holds back what comes over its first connection until release
// is closed. The first connection then ends at the target when its peer has closed it.
func startHoldingProxy(t *testing.T, target string, release <-chan struct{}) (address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var copies conc.WaitGroup
	copies.Go(func() {
		for first := true; ; first = false {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			held := first
			copies.Go(func() {
				defer func() { _ = near.Close() }()
				if held {
					<-release
				}
				far, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				copies.Go(func() { _, _ = io.Copy(near, far) })
				_, _ = io.Copy(far, near)
				_ = far.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		copies.Wait()
	})
	return listener.Addr().String()
}

// Guards against messages that were counted as lost and arrive behind later ones, which would be taken for the newest
// word of their sender.
func TestLateMessagesDoNotFollowLaterOnes(t *testing.T) {
	release := make(chan struct{})
	receiver := startEndpoint(t, "127.0.0.1:0")
	proxied := &endpoint{address: startHoldingProxy(t, receiver.address, release)}
	sender := startEndpoint(t, "127.0.0.1:0", messenger.WithTimeout(300*time.Millisecond))
	sender.say(proxied, "late")
	eventually(t, "the loss is reported", func() bool { return sender.countReports(messenger.PeerLost) == 1 })
	sender.say(proxied, "later")
	eventually(t, "the later message", func() bool { return len(receiver.receivedTargets()) == 1 })
	close(release)
	eventually(t, "the late message is rejected", func() bool {
		return receiver.countReports(messenger.PeerRejected) > 0 || len(receiver.receivedTargets()) > 1
	})
	assert.DeepEqual(t, receiver.receivedTargets(), []string{"later"})
	sender.say(proxied, "last")
	eventually(t, "a message after that", func() bool { return len(receiver.receivedTargets()) == 2 })
}
