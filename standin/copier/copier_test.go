package copier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/copier"
)

// copyTime is ample for an answer and its late copy.
const copyTime = 100 * time.Millisecond

// send sends a request with the id.
func send(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://host/", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set(copier.IDHeader, id)
	assert.NilError(t, request.Write(conn))
}

// read returns the id and the body of the next answer.
func read(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return answer.Header.Get(copier.IDHeader) + ":" + string(body)
}

// TestCopiesAreSentWhenDue guards against copies that tests count on and that are never sent.
func TestCopiesAreSentWhenDue(t *testing.T) {
	for name, test := range map[string]struct {
		planned copier.Copy
		// wanted are the ids and bodies of the answers on the connection to requests with the ids a, b and a, before a
		// copy of the last one.
		wanted []string
	}{
		"before the next":    {copier.Copy{Moment: copier.BeforeNext}, []string{"a:a", "a:a", "b:b", "b:b", "a:a"}},
		"before the same id": {copier.Copy{Moment: copier.BeforeSameID}, []string{"a:a", "b:b", "a:a", "a:a"}},
		"after":              {copier.Copy{Moment: copier.After}, []string{"a:a", "a:a", "b:b", "b:b", "a:a", "a:a"}},
		"late":               {copier.Copy{Moment: copier.After, Delay: time.Millisecond}, []string{"a:a", "a:a", "b:b", "b:b", "a:a", "a:a"}},
		"without the id":     {copier.Copy{Moment: copier.BeforeNext, WithoutID: true}, []string{"a:a", ":a", "b:b", ":b", "a:a"}},
		"none":               {copier.Copy{}, []string{"a:a", "b:b", "a:a"}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := start(t, test.planned)
			for _, id := range []string{"a", "b", "a"} {
				send(t, conn, id)
				<-time.After(copyTime)
			}
			var got []string
			reader := bufio.NewReader(conn)
			for range test.wanted {
				got = append(got, read(t, reader))
			}
			assert.DeepEqual(t, got, test.wanted)
		})
	}
}

// start starts a Copier that sends the copy of each answer, and connects to it.
func start(t *testing.T, planned copier.Copy) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	echo := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(copier.IDHeader)
		writer.Header().Set(copier.IDHeader, id)
		_, _ = io.WriteString(writer, id) // A recorder does not fail.
	})
	served := copier.New(echo, func(*http.Response) []copier.Copy { return []copier.Copy{planned} })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
