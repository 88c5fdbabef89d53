package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"limpetcleat/definer"
	"limpetcleat/dialer"
	"limpetcleat/interpreter"
	"limpetcleat/rationer"
	"limpetcleat/weigher"
)

const (
	// readBuffer and writeBuffer are in bytes; an ordinary response fits in one buffer.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// errSyntax is the error of a read of a head that does not follow the grammar.
var errSyntax = errors.New("the head of the response does not follow the grammar")

// errTrailer is the error of a read at the end of a body with a trailer that does not follow the grammar.
var errTrailer = errors.New("a field behind the body has no valid name")

// connection is a buffered connection to an upstream. It carries one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is the time after which an idle connection is not reused.
	idleUntil time.Time
	// written is the number of bytes that the kernel has accepted since the exchange began. A
	// write that fails with none accepted has sent nothing.
	written int
	// activity is that of the address while an exchange runs on a direct connection, else nil.
	activity atomic.Pointer[activity]
	// beganAt is when that exchange began, since the connector's start. repeatable tells that its
	// request may be sent again. Both are guarded by the connector's mutex.
	beganAt    time.Duration
	repeatable bool
	// answered is set once something came in the exchange, abandoned once it was closed since its
	// path is lost.
	answered  atomic.Bool
	abandoned atomic.Bool
	startedAt time.Time
	quiet     quiet
	// raised is set while the kernel's limit of silence is that of an exchange.
	raised atomic.Bool
	// number is that of Position.
	number uint64
	// carried holds the keys of all requests whose exchanges have begun, in order.
	carried []requestKey
	// pass is the leave for the connection; nil if none was needed.
	pass Pass
	// heads counts what was read of the heads of the answers in an exchange. readingHead is set while one is
	// read.
	heads       *rationer.Meter
	readingHead bool
	// received counts the bytes that were read, headBytes those of them that were counted as belonging to the head that
	// is being read.
	received  int64
	headBytes int
	// syntax checks the head that is being read; parsing is set meanwhile.
	syntax  syntax
	parsing bool
}

// newConnection returns a connection of the connector.
func (connector *Connector) newConnection(conn net.Conn) *connection {
	// The limit is for the heads of all answers in an exchange, skipped ones included.
	heads := connector.memory.NewMeter(weigher.Allowance(readBuffer, dialer.MaxHeadBytes))
	connection := &connection{Conn: conn, startedAt: connector.startedAt, heads: heads, number: connector.opened.Add(1)}
	connection.reader = bufio.NewReaderSize(connection, readBuffer)
	connection.writer = bufio.NewWriterSize(connection, writeBuffer)
	return connection
}

// Close closes the connection and ends its leave.
func (connection *connection) Close() error {
	connection.restoreLimit() // The kernel still sends what it has accepted.
	err := connection.Conn.Close()
	if connection.pass != nil {
		connection.pass.Close()
	}
	return err
}

// noteReset tells the leave whether the connection failed because it was reset.
func (connection *connection) noteReset(err error) {
	if connection.pass != nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		connection.pass.Reset()
	}
}

// relayedConn is a connection that another node relays.
type relayedConn interface {
	// Peer returns the node that relays the connection.
	Peer() definer.VM
	// Reusable reports whether the connection may carry another exchange.
	Reusable() bool
}

// relayed reports whether another node relays the connection.
func (connection *connection) relayed() bool {
	_, ok := connection.Conn.(relayedConn)
	return ok
}

// Read reads from the connection and records that something came.
func (connection *connection) Read(data []byte) (int, error) {
	for {
		connection.hasten()
		count, err := connection.Conn.Read(data)
		if count > 0 {
			connection.received += int64(count)
			connection.recordHeard()
			if err := connection.countHead(data[:count]); err != nil {
				return 0, err
			}
		}
		if count > 0 || err == nil {
			return count, err
		}
		if err := connection.endure(err); err != nil {
			return 0, err
		}
	}
}

// countHead counts and checks what was read if it belongs to the head of an answer. The error is errSyntax or of type
// rationer.Error.
func (connection *connection) countHead(data []byte) error {
	if !connection.readingHead {
		return nil
	}
	connection.headBytes += len(data)
	if err := connection.heads.Add(len(data)); err != nil || !connection.parsing {
		return err
	}
	return connection.checkHead(data)
}

// checkHead checks bytes of a head and counts its lines. The error is that of countHead.
func (connection *connection) checkHead(data []byte) error {
	before := connection.syntax.lines
	connection.syntax.add(data)
	if connection.syntax.broken {
		return errSyntax
	}
	return connection.heads.AddLines(connection.syntax.lines - before)
}

// consumed returns the number of bytes that were read and parsed.
func (connection *connection) consumed() int64 {
	return connection.received - int64(connection.reader.Buffered())
}

// parseHead reads and checks a head, whose first bytes may have come before. The error is that of countHead, of the
// connection or of net/http.
func (connection *connection) parseHead() (*http.Response, error) {
	connection.syntax = syntax{line: connection.syntax.line[:0]}
	if buffered, err := connection.reader.Peek(connection.reader.Buffered()); err == nil {
		if err := connection.checkHead(buffered); err != nil {
			return nil, err
		}
	}
	connection.readingHead, connection.parsing = true, true
	defer func() { connection.readingHead, connection.parsing = false, false }()
	return http.ReadResponse(connection.reader, nil)
}

// readHead reads the head of an answer as if its request had not been a HEAD request: surplus answers are to other requests,
// and connections that have carried a HEAD request are not reused. The error is of kind TooLarge or Unanswered.
func (connection *connection) readHead() (*http.Response, error) {
	began := connection.consumed()
	answer, err := connection.parseHead()
	if err == nil {
		// Part of the head may have been buffered before, and what is buffered now follows it.
		err = connection.heads.Add(int(connection.consumed()-began) - connection.headBytes)
	}
	connection.headBytes = 0
	var excess *rationer.Error
	switch {
	case errors.As(err, &excess) && excess.Kind() == rationer.TooLarge:
		return nil, fail("read", TooLarge, "the head of the response: %w", err)
	case err != nil:
		return nil, fail("read", Unanswered, "%w", err)
	case isMerged(answer):
		return nil, fail("read", Unanswered, "the head of the response contains the beginning of another")
	}
	return answer, nil
}

// recordHeard records that something came.
func (connection *connection) recordHeard() {
	now := time.Now()
	connection.resume(now)
	if connection.pass != nil {
		connection.pass.Used()
	}
	if active := connection.activity.Load(); active != nil {
		active.heardAt.Store(int64(now.Sub(connection.startedAt)))
		connection.answered.Store(true)
	}
}

// Write writes to the connection and counts the bytes that the kernel has accepted.
func (connection *connection) Write(data []byte) (int, error) {
	if connection.relayed() {
		count, err := connection.Conn.Write(data) // A timeout would end the connection to the peer.
		connection.written += count
		return count, err
	}
	total := 0
	for {
		_ = connection.Conn.SetWriteDeadline(time.Now().Add(acknowledgedCheckTime)) // Fails on a closed connection only.
		count, err := connection.Conn.Write(data[total:])
		connection.written += count
		total += count
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		connection.raiseLimit()
	}
}

// reusable reports whether an idle connection can carry another exchange: it has not
// expired, and the upstream has neither closed it nor sent unsolicited bytes. It checks this
// with a non-blocking read of the socket.
func (connection *connection) reusable(now time.Time) bool {
	if now.After(connection.idleUntil) || connection.reader.Buffered() > 0 {
		return false
	}
	if relayed, ok := connection.Conn.(relayedConn); ok && !relayed.Reusable() {
		return false
	}
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, err := syscall.Read(int(descriptor), probe[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // Do not wait until the socket is readable.
	})
	return err == nil && quiet
}

// idleTimeout returns how long the connection may stay idle after the response, from its
// Keep-Alive header. It is 0 if the connection must be closed.
func idleTimeout(answer *http.Response) time.Duration {
	if answer.Close {
		return 0
	}
	for _, field := range answer.Header.Values("Keep-Alive") {
		for _, item := range strings.Split(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			seconds, err := strconv.Atoi(value)
			if err != nil || seconds <= 0 {
				return 0
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// body reads the body of a response and records whether its end was reached.
type body struct {
	io.ReadCloser
	// complete is set once the body has been read to its end.
	complete bool
	// endless is set if the end of the connection does not show that of the body.
	endless bool
	// answer has the fields behind the body once that has been read.
	answer *http.Response
}

func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	switch {
	case !errors.Is(err, io.EOF):
	case body.endless:
		err = io.ErrUnexpectedEOF
	case !interpreter.HasFieldNames(body.answer.Trailer):
		err = errTrailer
	default:
		body.complete = true
	}
	return count, err
}
