package tester

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/shaper"
	"limpetcleat/standin/store"
)

const (
	// processorPeriod is the time of which a process gets a share.
	processorPeriod = 100 * time.Millisecond
	// processorCheckInterval is the interval between checks of what was used of it.
	processorCheckInterval = 2 * time.Millisecond
	// peersPath is where nodes write the entries that their peers read.
	peersPath = "/objects/limpetcleat-nodes"
	// maxEntryBytes bounds the entry of a node.
	maxEntryBytes = 64 << 10
)

// Hardware is what the VM of a node has.
type Hardware struct {
	// MemoryMB is the memory in MB that the node's settings state.
	MemoryMB int
	// Descriptors is the number of descriptors that the settings state.
	Descriptors int
	// LinkMbps is the bandwidth of the network link in Mbit/s; 0 is without limit.
	LinkMbps float64
	// ProcessorShare is the part of a core that the node gets: it runs at full speed for that part of each
	// tenth of a second, and then not at all. 0 is without limit.
	ProcessorShare float64
}

// Machine is a node on a VM of its own, whose connections to callers, upstreams, peers and the store share
// a link.
type Machine struct {
	*Node
	Link *shaper.Link
	// limiter limits the processor time until done is closed.
	limiter conc.WaitGroup
	done    chan struct{}
	// retired is set once callers open no more connections to the node.
	retired atomic.Bool
}

// Site is a fleet whose nodes run on VMs.
type Site struct {
	*Fleet
	links shaper.Named
}

// NewSite returns a site without machines.
func NewSite(fleet *Fleet) *Site { return &Site{Fleet: fleet} }

// StartMachine starts a node on a VM without waiting until it is ready.
func (site *Site) StartMachine(name string, hardware Hardware) *Machine {
	t := site.T
	t.Helper()
	link := shaper.New(hardware.LinkMbps)
	site.links.Add(name, link)
	inner := freeAddress(t)
	listener, err := net.Listen("tcp", Loopback+":0")
	assert.NilError(t, err)
	proxy := shaper.StartProxy(listener, inner, link, &site.links)
	t.Cleanup(proxy.Close)
	storeServer := site.serveStore(link, inner, listener.Addr().String())
	t.Setenv("GOMAXPROCS", "1")
	limits := fmt.Sprintf("cores: 1, cpu_share: %g, memory_mb: %d, max_fds: %d, link_mbps: %g",
		hardware.ProcessorShare, hardware.MemoryMB, hardware.Descriptors, hardware.LinkMbps)
	machine := &Machine{Link: link, done: make(chan struct{})}
	machine.Node = site.startLimitedNode(West, name, inner, storeServer.Listener.Addr().String(), limits)
	if hardware.ProcessorShare > 0 {
		machine.limiter.Go(func() { machine.limitProcessor(hardware.ProcessorShare) })
	}
	t.Cleanup(machine.ReleaseProcessor)
	return machine
}

// serveStore serves the store over the link. The entry that the node writes of itself gets the address of
// its proxy.
func (site *Site) serveStore(link *shaper.Link, inner, proxy string) *httptest.Server {
	handler := site.Store.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet && strings.HasPrefix(request.URL.Path, peersPath) {
			request.Body = replaceAddress(request.Body, inner, proxy)
		}
		handler.ServeHTTP(writer, request)
	}))
	server.Listener = link.Listener(server.Listener)
	server.Start()
	site.T.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// replaceAddress returns the body of a write with an address replaced; a body that is no object stays as it
// is.
func replaceAddress(body io.ReadCloser, from, to string) io.ReadCloser {
	data, err := io.ReadAll(io.LimitReader(body, maxEntryBytes))
	if err != nil {
		return body
	}
	var object store.Object
	spec := make(map[string]any)
	if json.Unmarshal(data, &object) == nil && json.Unmarshal(object.Spec, &spec) == nil && spec["address"] == from {
		spec["address"] = to
		if object.Spec, err = json.Marshal(spec); err == nil {
			data, err = json.Marshal(object)
		}
	}
	if err != nil {
		return body
	}
	return io.NopCloser(bytes.NewReader(data))
}

// limitProcessor suspends the process whenever it has used its share of a period, until the period ends.
func (machine *Machine) limitProcessor(share float64) {
	defer machine.Resume()
	quota := time.Duration(share * float64(processorPeriod))
	used, err := machine.ProcessorTime()
	if err != nil {
		return // It has exited.
	}
	allowed := used + quota
	for periodEnd := time.Now().Add(processorPeriod); ; periodEnd = periodEnd.Add(processorPeriod) {
		for time.Now().Before(periodEnd) {
			if used, err = machine.ProcessorTime(); err != nil {
				return
			}
			pause := processorCheckInterval
			if used >= allowed {
				machine.Suspend()
				pause = time.Until(periodEnd)
			}
			if !machine.pause(pause) {
				return
			}
		}
		machine.Resume()
		// What was used beyond the share counts in the next period, what was not used is lost.
		allowed = min(allowed, used) + quota
		if now := time.Now(); now.Sub(periodEnd) > processorPeriod {
			periodEnd = now
		}
	}
}

// pause waits and reports whether the limit still holds.
func (machine *Machine) pause(span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-machine.done:
	case <-machine.Exited():
	}
	return false
}

// ReleaseProcessor ends the limit of processor time. It may be called more than once.
func (machine *Machine) ReleaseProcessor() {
	select {
	case <-machine.done:
	default:
		close(machine.done)
	}
	machine.limiter.Wait()
}

// Retire makes callers open no more connections to the node, as the load balancer does with one that is not
// ready.
func (machine *Machine) Retire() { machine.retired.Store(true) }

// Dial opens a connection of a caller to the node, over its link.
func (machine *Machine) Dial() (net.Conn, error) {
	opened, err := net.Dial("tcp", machine.callerAddress)
	if err != nil {
		return nil, err
	}
	conn := shaper.Wrap(opened)
	conn.Attach(machine.Link)
	return conn, nil
}

// AttachUpstream makes a server's connections use the links of the nodes that open them. The server must not
// have been started.
func (site *Site) AttachUpstream(server *httptest.Server) {
	server.Listener = wrappedListener{server.Listener}
	server.Config.ConnContext = withConn
	server.Config.Handler = site.identifyNode(server.Config.Handler)
}
