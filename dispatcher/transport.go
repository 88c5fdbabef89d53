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
	upstreams := dialer.New(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := upstreams.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: defaultConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dialer.MaxHeadBytes,
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

// hopHeaders returns the hop-by-hop headers and the headers that are not forwarded between
// caller and upstream: credentials, cookies and those of the protocol with upstreams.
func hopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Cookie", "Accept-Encoding",
		headerAttempt, headerPriority, headerPreemptible, headerOffset, headerNotRun, headerOutcome,
	}
}

// forwardedHeader returns a copy of the header without the headers that are not forwarded.
func forwardedHeader(header http.Header) http.Header {
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
