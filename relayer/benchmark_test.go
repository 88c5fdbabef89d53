package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// BenchmarkPick measures the choice of a peer among 986 nodes.
func BenchmarkPick(b *testing.B) {
	peers := make([]Peer, 986)
	for index := range peers {
		peers[index] = Peer{VM: definer.VM(fmt.Sprintf("entry-%d", index)), DataCentre: definer.DataCentre(fmt.Sprintf("hall-%d", index%5)), Address: "10.1.0.1:7200"}
	}
	client := NewClient(peers[0], nil, func() []Peer { return peers })
	now := time.Now()
	for b.Loop() {
		if _, ok := client.pick(now, nil); !ok {
			b.Fatal("no peer was picked")
		}
	}
}

// BenchmarkRelayedBlock measures a block of 300 bytes from an upstream through a peer, over
// loopback, and reports the memory that a relayed connection takes at the peer and the node together.
func BenchmarkRelayedBlock(b *testing.B) {
	upstreams := listen(b)
	peers := listen(b)
	relayer := New(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, func(string) bool { return true })
	go func() {
		for {
			stream, err := peers.Accept()
			if err != nil {
				return
			}
			go relayer.Serve(context.Background(), stream)
		}
	}()
	client := NewClient(Peer{VM: "self"}, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, func() []Peer { return []Peer{{VM: "peer", Address: peers.Addr().String()}} })
	before := memoryInUse()
	const conns = 256
	var relayed, far net.Conn
	for range conns {
		conn, err := client.Dial(context.Background(), upstreams.Addr().String())
		assert.NilError(b, err)
		defer conn.Close()
		upstream, err := upstreams.Accept()
		assert.NilError(b, err)
		defer upstream.Close()
		relayed, far = conn, upstream
	}
	taken := memoryInUse() - before
	block := make([]byte, 300)
	for b.Loop() {
		_, err := far.Write(block)
		assert.NilError(b, err)
		_, err = io.ReadFull(relayed, block)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(taken)/conns, "B/conn")
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	return listener
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
