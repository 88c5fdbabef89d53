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
	// maxEnvelope bounds the size of one envelope in bytes. The largest message is a
	// complete call or its answer.
	maxEnvelope = 12 << 20
	// maxReceipt bounds the size of the reply to one envelope in bytes.
	maxReceipt = 64 << 10
	// batchBytes is the total payload, in bytes, from which on no further message is
	// added to an envelope.
	batchBytes = 1 << 20
)

// errTooLarge is returned when a peer sends more bytes than its limit.
var errTooLarge = errors.New("peer exceeded the size limit of a message")

// limitedReader reads at most as many bytes as the last call of allow set.
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

// Read reads up to the remaining limit. The error is errTooLarge when the limit is
// used up.
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

// codec is a net/rpc server codec over gob that bounds the size of each request.
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

// ReadRequestHeader resets the size limit and reads the header of the next request.
func (codec *codec) ReadRequestHeader(request *rpc.Request) error {
	codec.limited.allow(maxEnvelope)
	return codec.decoder.Decode(request)
}

// ReadRequestBody reads the body of a request.
func (codec *codec) ReadRequestBody(body any) error { return codec.decoder.Decode(body) }

// WriteResponse writes one response and flushes it.
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
