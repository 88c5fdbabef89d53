package shaper

import (
	"bytes"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// Links finds the links of VMs.
type Links interface {
	// Find returns the link of the VM whose name is the first in the text, or nil if there is none.
	Find(text []byte) *Link
}

// Named is a set of links by the names of their VMs. The zero value is empty. It is safe for concurrent
// use.
type Named struct {
	// mutex guards links; no other lock is acquired while it is held.
	mutex sync.Mutex
	links map[string]*Link
}

// Add adds the link of a VM.
func (named *Named) Add(name string, link *Link) {
	named.mutex.Lock()
	defer named.mutex.Unlock()
	if named.links == nil {
		named.links = make(map[string]*Link)
	}
	named.links[name] = link
}

// Get returns the link of a VM, or nil if there is none.
func (named *Named) Get(name string) *Link {
	named.mutex.Lock()
	defer named.mutex.Unlock()
	return named.links[name]
}

// Find returns the link of the VM whose name is the first in the text, the longest one if several begin
// there; nil if there is none.
func (named *Named) Find(text []byte) *Link {
	named.mutex.Lock()
	defer named.mutex.Unlock()
	var found *Link
	earliest, longest := len(text), 0
	for name, link := range named.links {
		index := bytes.Index(text, []byte(name))
		if index >= 0 && (index < earliest || index == earliest && len(name) > longest) {
			earliest, longest, found = index, len(name), link
		}
	}
	return found
}

// Proxy forwards the connections of peers to a VM, over the links of both.
type Proxy struct {
	listener net.Listener
	target   string
	link     *Link
	peers    Links
	group    conc.WaitGroup
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex  sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// StartProxy forwards what the listener accepts to the VM at the target, which has the link. Peers find the
// link of the other VM by the first bytes of a connection.
func StartProxy(listener net.Listener, target string, link *Link, peers Links) *Proxy {
	proxy := &Proxy{listener: listener, target: target, link: link, peers: peers, open: make(map[net.Conn]bool)}
	proxy.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			proxy.group.Go(func() { proxy.forward(conn) })
		}
	})
	return proxy
}

// Close closes all connections and waits until none is forwarded.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close() // Fails only if it is closed.
	proxy.mutex.Lock()
	proxy.closed = true
	for conn := range proxy.open {
		_ = conn.Close() // The other goroutine handles the failure.
	}
	proxy.mutex.Unlock()
	proxy.group.Wait()
}

// forward forwards one connection until either side closes it.
func (proxy *Proxy) forward(accepted net.Conn) {
	peer := Wrap(accepted)
	defer proxy.drop(peer)
	conn, err := net.Dial("tcp", proxy.target)
	if err != nil {
		if tcp, ok := accepted.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection, as a port without a listener does.
		}
		return
	}
	vm := Wrap(conn)
	vm.Attach(proxy.link)
	defer proxy.drop(vm)
	if !proxy.add(peer) || !proxy.add(vm) {
		return
	}
	var backward conc.WaitGroup
	backward.Go(func() { copyConn(peer, vm, func([]byte) {}) })
	copyConn(vm, peer, func(data []byte) {
		if peer.link.Load() == nil {
			peer.Attach(proxy.peers.Find(data))
		}
	})
	backward.Wait()
}

func (proxy *Proxy) add(conn net.Conn) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.open[conn] = true
	return !proxy.closed
}

func (proxy *Proxy) drop(conn net.Conn) {
	_ = conn.Close() // It may be closed already.
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.open, conn)
}

// copyConn copies until either end fails, and then closes both.
func copyConn(to, from net.Conn, inspect func(data []byte)) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, windowBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		inspect(buffer[:count])
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
