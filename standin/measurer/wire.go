package measurer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// segments is what TLS and TCP/IP add to an envelope and its receipt: two
	// records of 22 bytes and three segments of 52.
	segments = 2*22 + 3*52
	method   = "Inner.Deliver"
	// sequence is as long as most are.
	sequence = 1000
	// incarnation is a start's time, as nodes have it.
	incarnation = 1_800_000_000_000_000_000
)

// Wire counts what every node sends and gets, as net/rpc writes it on
// connections that stay open. It has no lock of its own.
type Wire struct {
	streams  map[link]*stream
	bytes    map[definer.VM]int
	messages map[definer.VM]int
}

// link is one way of a connection.
type link struct {
	from, to definer.VM
	receipts bool
}

type stream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// NewWire returns a Wire that has counted nothing.
func NewWire() *Wire {
	return &Wire{streams: make(map[link]*stream), bytes: make(map[definer.VM]int), messages: make(map[definer.VM]int)}
}

// Count counts a message and its receipt, for both ends.
func (wire *Wire) Count(from, to definer.VM, dataCentre definer.DataCentre, message messenger.Message) error {
	sender := definer.Member{VM: from, Incarnation: incarnation}
	envelope := messenger.Envelope{From: sender, DataCentre: dataCentre, Frames: []messenger.Frame{messenger.Wrap(message)}}
	sent, err := wire.write(link{from: from, to: to}, rpc.Request{ServiceMethod: method, Seq: sequence}, envelope)
	if err != nil {
		return err
	}
	got, err := wire.write(link{from: to, to: from, receipts: true}, rpc.Response{ServiceMethod: method, Seq: sequence}, messenger.Receipt{})
	if err != nil {
		return err
	}
	for _, vm := range []definer.VM{from, to} {
		wire.bytes[vm] += sent + got + segments
		wire.messages[vm]++
	}
	return nil
}

// Reset counts from nothing again; connections stay open.
func (wire *Wire) Reset() {
	clear(wire.bytes)
	clear(wire.messages)
}

// Bytes returns what a node has sent and got.
func (wire *Wire) Bytes(vm definer.VM) int { return wire.bytes[vm] }

// Messages returns how many messages a node has sent and got.
func (wire *Wire) Messages(vm definer.VM) int { return wire.messages[vm] }

// write returns the bytes that the values take on the link, where types that
// it has carried before are known.
func (wire *Wire) write(link link, values ...any) (int, error) {
	if wire.streams[link] == nil {
		made := &stream{}
		made.encoder = gob.NewEncoder(&made.buffer)
		wire.streams[link] = made
	}
	stream := wire.streams[link]
	stream.buffer.Reset()
	for _, value := range values {
		if err := stream.encoder.Encode(value); err != nil {
			return 0, err
		}
	}
	return stream.buffer.Len(), nil
}
