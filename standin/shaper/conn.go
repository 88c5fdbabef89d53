package shaper

import (
	"net"
	"sync/atomic"
)

// Conn is the far end of a connection with a VM. It is as fast as it can until it is attached to a link.
type Conn struct {
	net.Conn
	link atomic.Pointer[Link]
}

// Wrap returns the connection, which is not yet attached to a link.
func Wrap(conn net.Conn) *Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes) // Fails on a closed connection only.
	}
	return &Conn{Conn: conn}
}

// Attach makes the connection use the link.
func (conn *Conn) Attach(link *Link) { conn.link.Store(link) }

// Read reads what the VM has sent, as fast as the link transmits it.
func (conn *Conn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data[:min(len(data), windowBytes)])
	if link := conn.link.Load(); link != nil && count > 0 {
		link.fromVM.transmit(count)
	}
	return count, err
}

// Write sends data to the VM, as fast as the link transmits it.
func (conn *Conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+windowBytes, len(data))]
		if link := conn.link.Load(); link != nil {
			link.toVM.transmit(len(chunk))
		}
		count, err := conn.Conn.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
