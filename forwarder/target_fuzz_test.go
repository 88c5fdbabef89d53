package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/budgeter"
	"limpetcleat/connector"
	"limpetcleat/forwarder"
	"limpetcleat/platform"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
)

// FuzzTargets checks that an upstream receives the path that the rule matched and the query that the caller sent.
func FuzzTargets(f *testing.F) {
	for _, target := range []string{"/", "//a", "/?", "/a?b#c", "/%2f/../%00", "*", "http://h.example?b=/c", "http://h.example//a", "//h:80/%zz", "h.example:80", "a:/"} {
		f.Add(target)
	}
	table, err := router.New(router.Definition{
		Version:  1,
		Rules:    []router.Rule{rule("all", func(rule *router.Rule) { rule.PathPrefix = "/" })},
		Services: []router.Service{{Name: "pool"}},
	})
	assert.NilError(f, err)
	harness := &harness{table: table, confirmed: time.Now(), healthy: true, upstreams: []*registrar.Upstream{{ID: "u0", Service: "pool", Address: "a", DataCentre: "west", Slots: 64}}}
	received := make(chan *http.Request, 1)
	links := connector.New(connector.WithDial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go answerOnce(far, received)
		return near, nil
	}))
	budget := budgeter.New(budgeter.Policy{Slack: 10, Nodes: func() int { return 1 }, Window: time.Second}, time.Now())
	front := forwarder.New(platform.Protocol{}, harness, harness, selector.New("west"), budget, links)
	f.Fuzz(func(t *testing.T, target string) {
		head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\n%s: a\r\n\r\n", target, attemptHeader)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil || request.RequestURI != target || request.Header.Get(attemptHeader) != "a" || request.Host != "h.example" {
			return
		}
		recorder := httptest.NewRecorder()
		front.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			assert.Equal(t, recorder.Code, http.StatusNotFound)
			return
		}
		got := <-received
		sent, err := url.ParseRequestURI(got.RequestURI)
		assert.NilError(t, err)
		assert.Equal(t, got.RequestURI[0], byte('/'))
		assert.Equal(t, sent.EscapedPath(), request.URL.EscapedPath())
		assert.Equal(t, sent.RawQuery, request.URL.RawQuery)
		assert.Equal(t, got.Host, "h.example")
		if target[0] == '/' {
			assert.Equal(t, got.RequestURI, target)
		}
	})
}

// answerOnce passes one request on, answers it and closes the connection.
func answerOnce(conn net.Conn, received chan<- *http.Request) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	received <- request
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\n%s: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", attemptHeader, signatureHeader)
}
