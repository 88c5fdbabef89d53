package limpetcleat_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// network is an entry's network path to the upstreams.
type network struct {
	mutex sync.Mutex
	// refusing makes new connections be refused, and silent makes them hang.
	refusing bool
	silent   bool
	// conns are the connections opened so far.
	conns []*networkConn
}

// networkConn is a connection to an upstream over a network.
type networkConn struct {
	net.Conn
	network *network
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

// dial opens a connection as the state of the network allows.
func (network *network) dial(ctx context.Context, address string) (net.Conn, error) {
	network.mutex.Lock()
	refusing, silent := network.refusing, network.silent
	network.mutex.Unlock()
	if refusing {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	opened := &networkConn{Conn: conn, network: network, closed: make(chan struct{})}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.conns = append(network.conns, opened)
	return opened, nil
}

// refuse makes new connections be refused; open ones go on.
func (network *network) refuse() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.refusing = true
}

// reset closes the open connections and makes new ones be refused.
func (network *network) reset() {
	network.refuse()
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, conn := range network.conns {
		_ = conn.Close()
	}
}

// silence makes new connections hang and drops the bytes of open ones.
func (network *network) silence() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.silent = true
}

// Read reads from the connection. While the network is silent, it returns nothing until the
// connection is closed.
func (networkConn *networkConn) Read(data []byte) (int, error) {
	count, err := networkConn.Conn.Read(data)
	if networkConn.lost() {
		<-networkConn.closed
		return 0, net.ErrClosed
	}
	return count, err
}

// Write writes to the connection. While the network is silent, it drops the bytes.
func (networkConn *networkConn) Write(data []byte) (int, error) {
	if networkConn.lost() {
		return len(data), nil
	}
	return networkConn.Conn.Write(data)
}

// Close closes the connection.
func (networkConn *networkConn) Close() error {
	networkConn.closeOnce.Do(func() { close(networkConn.closed) })
	return networkConn.Conn.Close()
}

func (networkConn *networkConn) lost() bool {
	networkConn.network.mutex.Lock()
	defer networkConn.network.mutex.Unlock()
	return networkConn.network.silent
}

// TestNodesCutOffFromUpstreamsServe guards against callers being refused by nodes that have lost
// their paths to all upstreams, while a peer reaches the upstreams.
func TestNodesCutOffFromUpstreamsServe(t *testing.T) {
	for name, cut := range map[string]func(*network){"silent": (*network).silence, "reset": (*network).reset, "refused": (*network).refuse} {
		t.Run(name, func(t *testing.T) {
			deployment := newDeployment(t)
			deployment.putConfiguration("/a/", "key")
			first := deployment.startUpstream("u1", 20*time.Millisecond)
			second := deployment.startUpstream("u2", 20*time.Millisecond)
			deployment.networks = map[string]*network{"entry-1": {}, "entry-2": {}, "entry-3": {}}
			var running []*runningEntry
			for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
				running = append(running, deployment.startEntry(entry))
			}
			for _, entry := range running {
				entry.awaitStatus("/a/", "key", http.StatusOK)
			}
			// The one peer that reaches the upstreams has to be found among the others.
			cut(deployment.networks["entry-1"])
			cut(deployment.networks["entry-2"])
			allServed := slices.Repeat([]int{http.StatusOK}, len(running)*callsPerEntry)
			// The nodes may not know each other yet.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if statuses := callAtOnce(running); !slices.Equal(statuses, allServed) {
					return poll.Continue("the answers are %v", statuses)
				}
				return poll.Success()
			}, poll.WithTimeout(entryTimeout), poll.WithDelay(10*time.Millisecond))
			const rounds = 5
			before := first.Load() + second.Load()
			for range rounds {
				assert.DeepEqual(t, callAtOnce(running), allServed)
			}
			assert.Equal(t, int(first.Load()+second.Load()-before), rounds*len(allServed), "each request must run once")
		})
	}
}

// callsPerEntry is the number of requests at once, which need new connections.
const callsPerEntry = 4

// callAtOnce sends requests to all entries at once and returns the statuses of the answers.
func callAtOnce(entries []*runningEntry) []int {
	statuses := pool.NewWithResults[int]()
	for _, entry := range slices.Repeat(entries, callsPerEntry) {
		statuses.Go(func() int {
			status, _ := entry.call("/a/", "key")
			return status
		})
	}
	return statuses.Wait()
}
