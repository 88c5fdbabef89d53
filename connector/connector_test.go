package connector_test

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// startUpstream starts a server that answers the requests on each connection with the given
// raw responses in order, and then closes the connection. It returns the server's address and
// a function that counts the accepted connections.
func startUpstream(t *testing.T, answers ...string) (address string, connections func() int) {
	t.Helper()
	accepted := make(chan struct{}, 64)
	address = serveEach(t, func(conn net.Conn) {
		accepted <- struct{}{}
		serveAnswers(conn, answers)
	})
	return address, func() int { return len(accepted) }
}

// serveEach starts a server that serves each connection in a goroutine, and returns its address.
func serveEach(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func serveAnswers(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}
}

func newOutgoing() *connector.Outgoing {
	return &connector.Outgoing{
		Method: http.MethodGet, ID: rand.Text(), Target: "/a%2fb?c=d", Host: "host", Header: http.Header{},
		Belongs: func(_ int, header http.Header) bool { return header.Get("Id") == "1" },
	}
}

func plainAnswer(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

func errorKind(t *testing.T, err error) connector.Kind {
	t.Helper()
	var failure *connector.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure.Kind()
}

func TestExchange(t *testing.T) {
	cases := []struct {
		name   string
		answer string
		body   string
		head   connector.Kind
		read   connector.Kind
	}{
		{name: "with a length", answer: plainAnswer("1", "text"), body: "text"},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", body: "text"},
		{name: "ended by closing", answer: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\ntext", body: "text"},
		{name: "behind an answer to another", answer: plainAnswer("2", "other") + plainAnswer("1", "text"), body: "text"},
		{name: "behind an interim answer", answer: "HTTP/1.1 100 Continue\r\n\r\n" + plainAnswer("1", "text"), body: "text"},
		{name: "behind many answers to others", answer: strings.Repeat(plainAnswer("2", "other"), 200) + plainAnswer("1", "text"), body: "text"},
		{name: "answers to others only", answer: plainAnswer("2", "a") + plainAnswer("3", "b") + plainAnswer("4", "c"), head: connector.Unanswered},
		{name: "large answers to others", answer: strings.Repeat(plainAnswer("2", strings.Repeat("x", 512<<10)), 2) + plainAnswer("1", "a"), head: connector.Mismatched},
		{name: "heads of answers to others", answer: strings.Repeat(plainAnswer("2", ""), 2000), head: connector.TooLarge},
		{name: "shorter than its length", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ntext", read: connector.Broken},
		{name: "chunks without an end", answer: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", read: connector.Broken},
		{name: "no answer", answer: "", head: connector.Unanswered},
		{name: "no protocol", answer: "\x00\x01\x02\r\n\r\n", head: connector.Unanswered},
		{name: "above the bound", answer: plainAnswer("1", strings.Repeat("x", 65)), read: connector.TooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startUpstream(t, test.answer)
			answer, err := connector.New().Exchange(context.Background(), context.Background(), address, newOutgoing())
			if test.head != "" {
				assert.Equal(t, errorKind(t, err), test.head)
				return
			}
			assert.NilError(t, err)
			defer answer.Close()
			body, err := answer.ReadAll(64)
			if test.read != "" {
				assert.Equal(t, errorKind(t, err), test.read)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), test.body)
			assert.Equal(t, answer.Delimited, test.name != "ended by closing")
		})
	}
}

func exchange(t *testing.T, client *connector.Connector, address string) {
	t.Helper()
	answer, err := client.Exchange(context.Background(), context.Background(), address, newOutgoing())
	assert.NilError(t, err)
	_, err = answer.ReadAll(64)
	assert.NilError(t, err)
	answer.Close()
}

func TestExchangeReusesConnections(t *testing.T) {
	address, connections := startUpstream(t, plainAnswer("1", "a"), plainAnswer("1", "b"), plainAnswer("1", "c"))
	client := connector.New()
	exchange(t, client, address)
	exchange(t, client, address)
	assert.Equal(t, connections(), 1)
	// Sweep closes the connection once it has expired, so the next exchange dials again.
	client.Sweep(time.Now().Add(time.Minute))
	exchange(t, client, address)
	assert.Equal(t, connections(), 2)
}

func TestExchangeLeavesConnectionsWithMoreBytes(t *testing.T) {
	address, connections := startUpstream(t, plainAnswer("1", "a")+plainAnswer("1", "late"))
	client := connector.New()
	exchange(t, client, address)
	exchange(t, client, address)
	assert.Equal(t, connections(), 2)
}

func TestExchangeWithoutAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = connector.New().Exchange(context.Background(), context.Background(), address, newOutgoing())
	assert.Equal(t, errorKind(t, err), connector.Unconnected)
}

func TestExchangeEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			cancel()
		}
	}()
	_, err = connector.New().Exchange(ctx, ctx, listener.Addr().String(), newOutgoing())
	assert.Equal(t, errorKind(t, err), connector.Unanswered)
}
