package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"limpetcleat/definer"
	"limpetcleat/dialer"
)

func newTransport() *http.Transport {
	dialer := dialer.New(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: defaultConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func cancelBody(attempt definer.AttemptID) io.Reader {
	body, err := json.Marshal(struct {
		AttemptID definer.AttemptID `json:"attemptId"`
	}{attempt})
	if err != nil {
		return strings.NewReader("{}")
	}
	return strings.NewReader(string(body))
}

// hopHeaders returns the headers that belong to one connection, and those that
// must not reach an upstream.
func hopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Cookie", "Accept-Encoding",
		headerAttempt, headerPriority, headerPreemptible, headerOffset, headerNotRun, headerOutcome,
	}
}

// passOn returns the headers that may cross from one side to the other.
func passOn(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		return make(http.Header)
	}
	for _, named := range strings.Split(header.Get("Connection"), ",") {
		passed.Del(strings.TrimSpace(named))
	}
	for _, name := range hopHeaders() {
		passed.Del(name)
	}
	return passed
}
