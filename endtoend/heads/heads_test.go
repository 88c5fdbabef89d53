package heads_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// headMemoryMB is the memory limit of the nodes in MB, headMemory that in bytes.
	headMemoryMB = 80
	headMemory   = headMemoryMB << 20
	// headClients is the number of clients that send heads at the same time.
	headClients = 160
	// headBytes is the size of what a client sends as one head, below the limit of a head. serveHeadBytes is the same
	// at the address for callers of serve.
	headBytes      = 60 << 10
	serveHeadBytes = 30 << 10
	// headDescriptors bounds the descriptors that a process has open once the clients are gone.
	headDescriptors = 100
	// headPatience bounds what a client waits for while it writes, servedWithin what is awaited afterwards.
	headPatience = 5 * time.Second
	servedWithin = 20 * time.Second
	// wholeHeads is the number of whole heads that a client sends one after the other.
	wholeHeads = 8
)

// headShape is what each client sends.
type headShape struct {
	name string
	send func(size int) string
}

// headShapes returns the shapes of heads without an end, of many heads, and of bytes before a head.
func headShapes() []headShape {
	const start = "GET /safe/ HTTP/1.1\r\nHost: " + tester.FleetHost + "\r\n"
	different := func(size int) string {
		var head strings.Builder
		for number := 0; head.Len() < size; number++ {
			fmt.Fprintf(&head, "%x:\r\n", number)
		}
		return head.String()
	}
	repeated := func(text string) func(size int) string {
		return func(size int) string { return start + strings.Repeat(text, size/len(text)) }
	}
	return []headShape{
		{"different names", func(size int) string { return start + different(size) }},
		{"one name", repeated("a:\r\n")},
		{"one value", repeated("x")},
		{"folded lines", repeated("a:b\r\n c\r\n")},
		{"names and values", repeated("abc: defghi\r\n")},
		{"whole heads", func(size int) string { return strings.Repeat(start+different(size)+"\r\n", wholeHeads) }},
		{"empty lines", func(size int) string { return strings.Repeat("\r\n", size) }},
		{"empty lines behind a request", func(size int) string { return start + "\r\n" + strings.Repeat("\r\n", size) }},
		{"line feeds", func(size int) string { return strings.Repeat("\n", size) }},
	}
}

// crowd sends a text to an address from headClients connections, which stay open until all have sent what is taken. Then it
// closes them.
func crowd(address, text string) {
	var group conc.WaitGroup
	conns := make(chan net.Conn, headClients)
	for range headClients {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, headPatience)
			if err != nil {
				return
			}
			conns <- conn
			_ = conn.SetDeadline(time.Now().Add(headPatience))
			_, _ = conn.Write([]byte(text))
		})
	}
	group.Wait()
	<-time.After(time.Second)
	close(conns)
	for conn := range conns {
		_ = conn.Close()
	}
}

// checkCrowds sends each shape of head to the address of a process, and checks its life, memory and descriptors, and that
// a request is served afterwards.
func checkCrowds(t *testing.T, child *tester.Child, address string, size int, serves func() bool) {
	t.Helper()
	for _, shape := range headShapes() {
		t.Run(strings.ReplaceAll(shape.name, " ", "-"), func(t *testing.T) {
			child.ResetPeakMemory()
			crowd(address, shape.send(size))
			peak := child.PeakMemory()
			t.Logf("at most %d MB", peak>>20)
			assert.Check(t, peak > 0, "the process has ended")
			assert.Check(t, peak < headMemory, "the process took %d MB", peak>>20)
			tester.Eventually(t, servedWithin, "the connections are closed", func() bool {
				open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", child.ID()))
				return err == nil && len(open) < headDescriptors
			})
			tester.Eventually(t, servedWithin, "a request is served", serves)
		})
	}
}

// startNode starts a node with the memory of these tests, and returns whether it serves a request.
func startNode(t *testing.T) (node *tester.Node, serves func() bool) {
	t.Helper()
	fleet := tester.NewFleet(t)
	tester.StartScripted(fleet, "sound")
	fleet.Configure(tester.UnsafeRule("/safe/"))
	node = fleet.StartNodeWithLimits("entry", fmt.Sprintf("memory_mb: %d, max_fds: 4100", headMemoryMB))
	node.AwaitReady()
	return node, func() bool { return tester.NewClient(t).Send(node.Request("/safe/")).Status == http.StatusOK }
}

// TestHeadsOfCallersStayWithinTheMemory guards against clients that end a node by heads without an end: each byte of a short
// field takes many times its size.
func TestHeadsOfCallersStayWithinTheMemory(t *testing.T) {
	node, serves := startNode(t)
	checkCrowds(t, node.Child, node.CallerAddress(), headBytes, serves)
}

// TestHeadsAtTheReadinessCheckStayWithinTheMemory guards against the same at the address of the readiness check.
func TestHeadsAtTheReadinessCheckStayWithinTheMemory(t *testing.T) {
	node, serves := startNode(t)
	checkCrowds(t, node.Child, node.ReadyAddress(), headBytes, serves)
}

// TestHeadsOfOperatorsStayWithinTheMemory guards against the same at the address for operators.
func TestHeadsOfOperatorsStayWithinTheMemory(t *testing.T) {
	node, serves := startNode(t)
	checkCrowds(t, node.Child, node.OperatorAddress, headBytes, serves)
}

// TestHeadsOfPeersStayWithinTheMemory guards against the same at the address for peers.
func TestHeadsOfPeersStayWithinTheMemory(t *testing.T) {
	node, serves := startNode(t)
	checkCrowds(t, node.Child, node.InnerAddress, headBytes, serves)
}

// TestHeadsAtServeStayWithinTheMemory guards against clients that end a process of serve in the same way.
func TestHeadsAtServeStayWithinTheMemory(t *testing.T) {
	t.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", headMemoryMB))
	system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West}, Engines: []string{tester.West}})
	entry := system.Entries[0]
	serves := func() bool { return entry.Send(tester.Completion("hello", 2, false)).Complete }
	for name, address := range map[string]string{"callers": entry.CallerAddress(), "operators": entry.OperatorAddress()} {
		t.Run(name, func(t *testing.T) { checkCrowds(t, entry.Process, address, serveHeadBytes, serves) })
	}
}
