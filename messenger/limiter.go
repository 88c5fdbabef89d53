package messenger

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"sync"
)

const (
	// maxEnvelope bounds the bytes of one envelope. The largest message is a
	// whole call or its answer.
	maxEnvelope = 12 << 20
	// maxReceipt bounds the bytes of the answer to one envelope.
	maxReceipt = 64 << 10
	// batchBytes is the size of large messages at which an envelope is full.
	batchBytes = 1 << 20
)

// errTooLarge is returned for what is larger than a peer may send.
var errTooLarge = errors.New("the peer sent too much")

// limitedReader reads no more than it is allowed.
type limitedReader struct {
	reader io.Reader
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

// Read reads what is allowed. The error is errTooLarge when nothing is left.
func (limited *limitedReader) Read(data []byte) (int, error) {
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
	return count, err
}

// codec is the server's side of net/rpc over gob, with a bound on each request.
type codec struct {
	conn    io.ReadWriteCloser
	limited *limitedReader
	decoder *gob.Decoder
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newCodec(conn io.ReadWriteCloser) *codec {
	limited := &limitedReader{reader: conn}
	buffer := bufio.NewWriter(conn)
	return &codec{conn: conn, limited: limited, decoder: gob.NewDecoder(limited), buffer: buffer, encoder: gob.NewEncoder(buffer)}
}

// ReadRequestHeader reads the head of the next request.
func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	codec.limited.allow(maxEnvelope)
	return codec.decoder.Decode(request)
}

// ReadRequestBody reads the rest of a request.
func (codec *codec) ReadRequestBody(body any) error { return codec.decoder.Decode(body) }

// WriteResponse writes one answer.
func (codec *codec) WriteResponse(response *rpc.Response, body any) error {
	if err := codec.encoder.Encode(response); err != nil {
		return err
	}
	if err := codec.encoder.Encode(body); err != nil {
		return err
	}
	return codec.buffer.Flush()
}

// Close closes the connection.
func (codec *codec) Close() error { return codec.conn.Close() }

// weight returns the bytes of a message that may be large.
func weight(message Message) int {
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
