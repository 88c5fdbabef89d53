// Package shaper stands in for the network link of a VM. All connections over a link share its bandwidth,
// in each direction.
package shaper

import (
	"net"
	"sync"
	"time"
)

const (
	// windowBytes is the largest number of bytes of one connection that are under way at a time, and the
	// size of the receive buffer at the far end.
	windowBytes = 16 << 10
	bitsPerByte = 8
)

// Link is the link of a VM. Its far end is in this process. It is safe for concurrent use.
type Link struct {
	toVM   lane
	fromVM lane
}

// New returns a Link with a bandwidth in Mbit/s in each direction; 0 is without limit.
func New(mbps float64) *Link {
	bytesPerSecond := mbps * 1e6 / bitsPerByte
	return &Link{toVM: lane{bytesPerSecond: bytesPerSecond}, fromVM: lane{bytesPerSecond: bytesPerSecond}}
}

// CarriedBytes returns the number of bytes that the link has carried in each direction.
func (link *Link) CarriedBytes() (toVM, fromVM int64) {
	return link.toVM.carriedBytes(), link.fromVM.carriedBytes()
}

// LongestWait returns the longest time for which bytes waited for the link, in either direction.
func (link *Link) LongestWait() time.Duration {
	return max(link.toVM.longestWait(), link.fromVM.longestWait())
}

// lane is one direction of a link.
type lane struct {
	// bytesPerSecond is 0 for no limit.
	bytesPerSecond float64

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// idleAt is the time at which the bytes so far have been transmitted.
	idleAt  time.Time
	carried int64
	longest time.Duration
}

// transmit blocks until the given number of bytes has been transmitted.
func (lane *lane) transmit(bytes int) {
	if wait := time.Until(lane.reserve(bytes)); wait > 0 {
		time.Sleep(wait)
	}
}

// reserve queues the bytes and returns the time at which they have been transmitted.
func (lane *lane) reserve(bytes int) time.Time {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	now := time.Now()
	lane.carried += int64(bytes)
	if lane.idleAt.Before(now) {
		lane.idleAt = now
	}
	if lane.bytesPerSecond > 0 {
		lane.idleAt = lane.idleAt.Add(time.Duration(float64(bytes) / lane.bytesPerSecond * float64(time.Second)))
	}
	lane.longest = max(lane.longest, lane.idleAt.Sub(now))
	return lane.idleAt
}

func (lane *lane) carriedBytes() int64 {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	return lane.carried
}

func (lane *lane) longestWait() time.Duration {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	return lane.longest
}

// Listener returns the listener with its connections over the link.
func (link *Link) Listener(listener net.Listener) net.Listener {
	return &shapedListener{Listener: listener, link: link}
}

// shapedListener accepts connections of a VM.
type shapedListener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection.
func (listener *shapedListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := Wrap(accepted)
	conn.Attach(listener.link)
	return conn, nil
}
