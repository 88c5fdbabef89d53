package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer and writeBuffer are in bytes; a plain answer fits at once.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// connection is one connection to an upstream, which serves one exchange at a
// time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is when it is too old to be used again.
	idleUntil time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), writer: bufio.NewWriterSize(conn, writeBuffer)}
}

// fresh tells whether an idle connection may carry another exchange: the
// upstream has neither closed it nor sent anything that nobody asked for.
func (connection *connection) fresh(now time.Time) bool {
	if now.After(connection.idleUntil) || connection.reader.Buffered() > 0 {
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
		return true // Never wait for bytes.
	})
	return err == nil && quiet
}

// keep returns how long the connection may stay idle after the answer, or 0 if
// it must be closed.
func keep(answer *http.Response) time.Duration {
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
	return idleDefault
}

// body reads an answer and gives its connection back when it is whole.
type body struct {
	io.ReadCloser
	// whole is set once the answer was read to its end.
	whole bool
}

func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		body.whole = true
	}
	return count, err
}
