package measurer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// framingBytes is the overhead of TLS and TCP/IP for an envelope and its
	// receipt: two TLS records of 22 bytes and three segment headers of 52.
	framingBytes = 2*22 + 3*52
	rpcMethod    = "Inner.Deliver"
	// typicalSequence is encoded in as many bytes as most sequence numbers.
	typicalSequence = 1000
	// typicalIncarnation is a start time in nanoseconds since 1970, as nodes use it.
	typicalIncarnation = 1_800_000_000_000_000_000
)

// Wire counts the messages and bytes that each node sends and receives, as
// encoded by net/rpc on persistent connections. It is not safe for concurrent use.
type Wire struct {
	streams  map[link]*stream
	bytes    map[definer.VM]int
	messages map[definer.VM]int
}

// link is one direction of a connection. Requests and responses of a pair of
// nodes use separate links.
type link struct {
	from, to  definer.VM
	responses bool
}

type stream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// NewWire returns a Wire with all counts at zero.
func NewWire() *Wire {
	return &Wire{streams: make(map[link]*stream), bytes: make(map[definer.VM]int), messages: make(map[definer.VM]int)}
}

// RecordExchange adds the bytes of a message and of its receipt, and one message, to the counts
// of both nodes. It returns the error of the encoder, if any.
func (wire *Wire) RecordExchange(from, to definer.VM, dataCentre definer.DataCentre, message messenger.Message) error {
	sender := definer.Member{VM: from, Incarnation: typicalIncarnation}
	envelope := messenger.Envelope{From: sender, DataCentre: dataCentre, Frames: []messenger.Frame{messenger.Wrap(message)}}
	sent, err := wire.encodedSize(link{from: from, to: to}, rpc.Request{ServiceMethod: rpcMethod, Seq: typicalSequence}, envelope)
	if err != nil {
		return err
	}
	received, err := wire.encodedSize(link{from: to, to: from, responses: true}, rpc.Response{ServiceMethod: rpcMethod, Seq: typicalSequence}, messenger.Receipt{})
	if err != nil {
		return err
	}
	for _, vm := range []definer.VM{from, to} {
		wire.bytes[vm] += sent + received + framingBytes
		wire.messages[vm]++
	}
	return nil
}

// Reset sets all counts to zero and keeps the connections open, so that type
// descriptions already sent on them are not counted again.
func (wire *Wire) Reset() {
	clear(wire.bytes)
	clear(wire.messages)
}

// Bytes returns the number of bytes that a node has sent and received.
func (wire *Wire) Bytes(vm definer.VM) int { return wire.bytes[vm] }

// Messages returns the number of messages that a node has sent and received.
func (wire *Wire) Messages(vm definer.VM) int { return wire.messages[vm] }

// encodedSize returns the number of bytes that the values take on the link. The
// description of a type counts only the first time that the link carries it.
func (wire *Wire) encodedSize(link link, values ...any) (int, error) {
	if wire.streams[link] == nil {
		created := &stream{}
		created.encoder = gob.NewEncoder(&created.buffer)
		wire.streams[link] = created
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
