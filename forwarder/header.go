package forwarder

import (
	"net/http"
	"strings"
)

// hopHeaders returns the headers that concern one connection only (RFC 9110,
// 7.6.1, and those that are in use without it).
func hopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// endToEnd returns a copy without the headers that concern one connection.
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
	for _, name := range hopHeaders() {
		passed.Del(name)
	}
	return passed
}

// copyHeader puts an upstream's headers in place of those of an answer.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	if _, named := to["Content-Type"]; !named {
		to["Content-Type"] = nil // Keeps the library from guessing one.
	}
	to.Del("Content-Length")
}
