package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionThatGivesWayIsUnread lets the header of a request arrive on the connection that was chosen to
// give way, before it is closed.
//
// It guards against requests that are served, or passed on, on a connection that is closed as unread.
func TestConnectionThatGivesWayIsUnread(t *testing.T) {
	begun, release, judged := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var oldest net.Conn
	accepted, served := 0, false
	acceptor := New(func() time.Duration { return time.Minute }, WithCount(func(reason Reason) {
		switch {
		case reason == "":
			if accepted++; accepted > maxUnread {
				close(judged)
			}
		case reason == Unread && !served:
			_, _ = io.WriteString(oldest, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			select {
			case <-begun:
				served = true
			case <-time.After(time.Second):
			}
		}
	}))
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(writer, "served")
	})}
	acceptor.Attach(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(acceptor.Listen(inner)) }()
	defer server.Close()
	for count := range maxUnread {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		if count == 0 {
			oldest = conn
		}
		for acceptor.unread.size() <= count {
			<-time.After(time.Millisecond / 4)
		}
	}
	<-time.After(unreadGrace + 10*time.Millisecond)
	further, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer further.Close()
	<-judged
	close(release)
	answer, err := http.ReadResponse(bufio.NewReader(oldest), nil)
	if err == nil {
		_ = answer.Body.Close()
	}
	assert.Assert(t, !served || err == nil, "served, and closed: %v", err)
}
