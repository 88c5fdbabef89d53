package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

const (
	okHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	okBody = "Content-Length: 4\r\n\r\ntext"
)

// startParts sends an answer in parts of a size to each request, and returns the address.
func startParts(t *testing.T, answer string, size int) string {
	t.Helper()
	return serveEach(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for rest := answer; len(rest) > 0; {
			part := rest[:min(size, len(rest))]
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			rest = rest[len(part):]
		}
	})
}

// TestHeadsFollowTheGrammar guards against the answers of broken upstreams that reach callers as answers: with names that
// have blanks, lines that continue others, statuses and versions that do not exist.
func TestHeadsFollowTheGrammar(t *testing.T) {
	cases := map[string]struct {
		answer string
		sound  bool
	}{
		"plain":                          {okHead + okBody, true},
		"line feeds alone":               {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\ntext", true},
		"no reason":                      {"HTTP/1.1 200\r\nId: 1\r\n" + okBody, true},
		"an empty reason":                {"HTTP/1.1 200 \r\nId: 1\r\n" + okBody, true},
		"an earlier version":             {"HTTP/1.0 200 OK\r\nId: 1\r\n" + okBody, true},
		"all that may be in a name":      {okHead + "!#$%&'*+-.^_`|~09azAZ: v\r\n" + okBody, true},
		"a long value":                   {okHead + "A: " + strings.Repeat("b", 9000) + "\r\n" + okBody, true},
		"a long reason":                  {"HTTP/1.1 200 " + strings.Repeat("O", 900) + "\r\nId: 1\r\n" + okBody, true},
		"a long name":                    {okHead + strings.Repeat("b", 9000) + ": v\r\n" + okBody, false},
		"an empty value":                 {okHead + "A:\r\n" + okBody, true},
		"colons and blanks in a value":   {okHead + "A: b: c d\r\n" + okBody, true},
		"behind an interim answer":       {"HTTP/1.1 100 Continue\r\n\r\n" + okHead + okBody, true},
		"a trailer":                      {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nA: b\r\n\r\n", true},
		"a body like a head":             {okHead + "Content-Length: 4\r\n\r\n : \n", true},
		"a blank in a name":              {okHead + "X Junk: v\r\n" + okBody, false},
		"a blank behind a name":          {okHead + "X-Junk : v\r\n" + okBody, false},
		"a tab behind a name":            {okHead + "X-Junk\t: v\r\n" + okBody, false},
		"a blank before a name":          {okHead + " X-Junk: v\r\n" + okBody, false},
		"a blank before the first name":  {"HTTP/1.1 200 OK\r\n X-Junk: v\r\nId: 1\r\n" + okBody, false},
		"a line that continues another":  {okHead + "A: b\r\n c\r\n" + okBody, false},
		"a control byte in a name":       {okHead + "X\x01Junk: v\r\n" + okBody, false},
		"a byte beyond ASCII in a name":  {okHead + "X\xffJunk: v\r\n" + okBody, false},
		"a control byte in a value":      {okHead + "A: b\x01\r\n" + okBody, false},
		"no name":                        {okHead + ": v\r\n" + okBody, false},
		"no colon":                       {okHead + "Junk\r\n" + okBody, false},
		"a blank in Content-Length":      {okHead + "Content Length: 4\r\n\r\ntext", false},
		"a blank behind Content-Length":  {okHead + "Content-Length : 4\r\n\r\ntext", false},
		"a blank behind the coding":      {okHead + "Transfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", false},
		"two lengths":                    {okHead + "Content-Length: 3\r\n" + okBody, false},
		"an interim answer with a blank": {"HTTP/1.1 100 Continue\r\nX Junk: v\r\n\r\n" + okHead + okBody, false},
		"a blank in a trailer's name":    {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nX Junk: v\r\n\r\n", false},
		"status 000":                     {"HTTP/1.1 000 OK\r\nId: 1\r\n" + okBody, false},
		"status 099":                     {"HTTP/1.1 099 OK\r\nId: 1\r\n" + okBody, false},
		"status 600":                     {"HTTP/1.1 600 OK\r\nId: 1\r\n" + okBody, false},
		"status 999":                     {"HTTP/1.1 999 OK\r\nId: 1\r\n" + okBody, false},
		"status 20":                      {"HTTP/1.1 20 OK\r\nId: 1\r\n" + okBody, false},
		"status 2000":                    {"HTTP/1.1 2000 OK\r\nId: 1\r\n" + okBody, false},
		"status +200":                    {"HTTP/1.1 +200 OK\r\nId: 1\r\n" + okBody, false},
		"status -20":                     {"HTTP/1.1 -20 OK\r\nId: 1\r\n" + okBody, false},
		"two blanks before the status":   {"HTTP/1.1  200 OK\r\nId: 1\r\n" + okBody, false},
		"HTTP/2.0":                       {"HTTP/2.0 200 OK\r\nId: 1\r\n" + okBody, false},
		"HTTP/0.9":                       {"HTTP/0.9 200 OK\r\nId: 1\r\n" + okBody, false},
		"a later version":                {"HTTP/1.2 200 OK\r\nId: 1\r\n" + okBody, true},
		"an empty line before the head":  {"\r\n" + okHead + okBody, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []int{1, 5, len(test.answer)} {
				sut := connector.New()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				answer, err := sut.Exchange(ctx, ctx, startParts(t, test.answer, size), newOutgoing())
				if err == nil {
					_, err = answer.ReadAll(64)
					answer.Close()
				}
				assert.Equal(t, err == nil, test.sound, "in parts of %d bytes: %v", size, err)
				cancel()
				sut.Close()
			}
		})
	}
}
