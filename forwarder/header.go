package forwarder

import (
	"net/http"
	"strings"
)

// hopByHopHeaders returns the headers that concern a single connection only: those of
// RFC 9110, 7.6.1, and others in common use.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		return make(http.Header)
	}
	for _, field := range header.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders() {
		passed.Del(name)
	}
	return passed
}

// copyHeader copies the end-to-end headers of an upstream's answer into the answer to the
// caller, replacing fields of equal name.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, named := to["Content-Type"]; !named {
		to["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	to.Del("Content-Length")
}

// originForm returns the target of a request without the scheme and host of an absolute one, and otherwise as it is.
func originForm(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}
