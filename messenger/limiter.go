package messenger

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"math"
	"net/rpc"
	"sync"

	"limpetcleat/rationer"
)

const (
	// maxEnvelope bounds the size of one envelope in bytes. The largest message is a
	// complete call or its answer.
	maxEnvelope = 12 << 20
	// freeEnvelope is the size in bytes of an envelope that takes no memory from the rationer, and envelopeCost
	// how many bytes of memory each byte of a larger one takes: it is received and then decoded.
	freeEnvelope = 16 << 10
	envelopeCost = 3
	// maxReceipt bounds the size of the reply to one envelope in bytes. It is empty but for an error.
	maxReceipt = 4 << 10
	// batchBytes is the total payload, in bytes, from which on no further message is
	// added to an envelope.
	batchBytes = 1 << 20
)

// errTooLarge is returned when a peer sends more bytes than its limit.
var errTooLarge = errors.New("peer exceeded the size limit of a message")

// limitedReader reads at most as many bytes as the last call of allow set. It reads the lengths that precede
// the messages of gob as well, since a decoder allocates a message before it has been received.
type limitedReader struct {
	reader io.Reader
	// meter takes memory for the messages; nil if their limit is small.
	meter *rationer.Meter
	// lengths and excess are owned by the goroutine that reads. excess is why nothing more is read.
	lengths lengthReader
	excess  error
	// mutex guards left; no other lock is taken under it.
	mutex sync.Mutex
	left  int
}

// allow sets how many bytes may be read from now on.
func (limited *limitedReader) allow(count int) {
	limited.mutex.Lock()
	defer limited.mutex.Unlock()
	limited.left = count
}

// Read reads up to the remaining limit. The error is errTooLarge when the limit is used up or a message will
// exceed it, and of type rationer.Error when there is no memory for a message.
func (limited *limitedReader) Read(data []byte) (int, error) {
	if limited.excess != nil {
		return 0, limited.excess
	}
	limited.mutex.Lock()
	left := limited.left
	limited.mutex.Unlock()
	if left <= 0 {
		return 0, errTooLarge
	}
	count, err := limited.reader.Read(data[:min(len(data), left)])
	limited.mutex.Lock()
	limited.left -= count
	limited.mutex.Unlock()
	passed, excess := limited.check(data[:count], left)
	limited.excess = excess
	if excess != nil && passed == 0 {
		return 0, excess
	}
	return passed, err
}

// check takes the memory for the messages that begin in the data, of which at most left bytes may follow. It
// returns how many bytes may be passed on, and why the others may not.
func (limited *limitedReader) check(data []byte, left int) (int, error) {
	passed := 0
	for at := 0; at < len(data); {
		if limited.lengths.skip > 0 {
			at += limited.lengths.pass(len(data) - at)
			passed = at
			continue
		}
		if !limited.lengths.add(data[at]) || limited.lengths.skip > left {
			return passed, errTooLarge
		}
		at++
		if limited.meter == nil {
			continue
		}
		if err := limited.meter.Add(limited.lengths.skip); err != nil {
			return passed, err
		}
	}
	return len(data), nil
}

// forget frees the memory of the messages that have been received. One may have been received in part, behind
// the others.
func (limited *limitedReader) forget() error {
	limited.meter.Reset()
	return limited.meter.Add(limited.lengths.skip)
}

// lengthReader finds the lengths of the messages in a stream of gob.
type lengthReader struct {
	// skip is how many bytes of the current message follow.
	skip int
	// prefix is how many bytes of a length follow, and length what they amount to so far.
	prefix int
	length int
}

// maxLengthBytes is the largest number of bytes of a length that is accepted; it covers maxEnvelope.
const maxLengthBytes = 4

// pass passes over bytes of the current message, at most count, and returns how many.
func (lengthReader *lengthReader) pass(count int) int {
	count = min(count, lengthReader.skip)
	lengthReader.skip -= count
	return count
}

// add adds one byte of a length, and sets skip once it is complete; it returns false if the length is malformed.
// Lengths up to 127 take one byte; before others comes the negated number of their bytes, most significant
// first.
func (lengthReader *lengthReader) add(next byte) bool {
	switch {
	case lengthReader.prefix > 0:
		lengthReader.prefix--
		lengthReader.length = lengthReader.length<<8 | int(next)
	case next <= math.MaxInt8:
		lengthReader.length = int(next)
	default:
		lengthReader.prefix = -int(int8(next))
		lengthReader.length = 0
		return lengthReader.prefix <= maxLengthBytes
	}
	if lengthReader.prefix == 0 {
		lengthReader.skip = lengthReader.length
	}
	return true
}

// codec is a net/rpc server codec over gob that bounds the size of each request, and serves one at a time.
type codec struct {
	conn    io.ReadWriteCloser
	limited *limitedReader
	decoder *gob.Decoder
	buffer  *bufio.Writer
	encoder *gob.Encoder
	// serving holds an element from the header of a request to its response.
	serving chan struct{}
}

func newCodec(conn io.ReadWriteCloser, memory *rationer.Rationer) *codec {
	meter := memory.NewMeter(rationer.Allowance{Free: freeEnvelope, Limit: math.MaxInt64, Cost: envelopeCost})
	limited := &limitedReader{reader: conn, meter: meter}
	buffer := bufio.NewWriter(conn)
	return &codec{conn: conn, limited: limited, decoder: gob.NewDecoder(limited), buffer: buffer, encoder: gob.NewEncoder(buffer), serving: make(chan struct{}, 1)}
}

// ReadRequestHeader waits for the end of the request before, frees its memory and reads the header of the next.
func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	codec.serving <- struct{}{}
	codec.limited.allow(maxEnvelope)
	if err := codec.limited.forget(); err != nil {
		return err
	}
	return codec.decoder.Decode(request)
}

// ReadRequestBody reads the body of a request.
func (codec *codec) ReadRequestBody(body any) error { return codec.decoder.Decode(body) }

// WriteResponse writes one response and flushes it.
func (codec *codec) WriteResponse(response *rpc.Response, body any) error {
	defer func() { <-codec.serving }()
	if err := codec.encoder.Encode(response); err != nil {
		return err
	}
	if err := codec.encoder.Encode(body); err != nil {
		return err
	}
	return codec.buffer.Flush()
}

// Close closes the connection and frees the memory of the last request.
func (codec *codec) Close() error {
	codec.limited.meter.Reset()
	return codec.conn.Close()
}

// payloadSize returns the payload of a message in bytes, and 0 for the kinds of
// message that are always small.
func payloadSize(message Message) int {
	switch message := message.(type) {
	case *CallForward:
		return len(message.Body)
	case *CallAnswer:
		return len(message.Body)
	case *ConfigurationAnswer:
		total := 0
		for _, piece := range message.Pieces {
			total += len(piece.Data)
		}
		return total
	default:
		return 0
	}
}
