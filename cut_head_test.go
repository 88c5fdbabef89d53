package limpetcleat_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// cutForm and cutEnd are the headers that specify how a cuttingUpstream answers, cutAt the one with the number
	// of bytes that it sends.
	cutForm = "X-Cut-Form"
	cutEnd  = "X-Cut-End"
	cutAt   = "X-Cut-At"
)

// cutHeads returns the heads of answers to an attempt, by form, and what precedes them.
func cutHeads(attempt string) map[string]string {
	identity := "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: signed\r\nConnection: close\r\n"
	return map[string]string{
		"length":        "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 4\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\n" + identity + "\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + identity + "\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\n" + identity + "\r\n",
		"not modified":  "HTTP/1.1 304 Not Modified\r\n" + identity + "\r\n",
		"bare newlines": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 0\r\n\r\n", "\r", ""),
		"interim":       "HTTP/1.1 103 Early Hints\r\n" + identity + "\r\nHTTP/1.1 200 OK\r\n" + identity + "Content-Length: 0\r\n\r\n",
		"another's":     "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: signed\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + identity + "Content-Length: 0\r\n\r\n",
	}
}

// cuttingUpstream is an upstream that ends each of its answers inside the head.
func cuttingUpstream(t *testing.T) (address string) {
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
			go serveCut(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// serveCut answers one request.
func serveCut(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	head := cutHeads(request.Header.Get("X-Attempt-Id"))[request.Header.Get(cutForm)]
	at, err := strconv.Atoi(request.Header.Get(cutAt))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, head[:at])
	switch request.Header.Get(cutEnd) {
	case "reset":
		<-time.After(time.Millisecond) // The bytes are read before the reset.
		_ = conn.SetLinger(0)
	case "half":
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// cutPlaces returns the places of a head around the ends of its lines.
func cutPlaces(head string) (places []int) {
	for at := range len(head) {
		if at%11 == 0 || strings.Contains(head[max(at-2, 0):min(at+2, len(head))], "\n") {
			places = append(places, at)
		}
	}
	return places
}

// TestAnswersCutInsideTheirHeadAreNotDelivered guards against an answer whose upstream ended inside the head and that
// callers get as a complete one, directly or through a peer.
func TestAnswersCutInsideTheirHeadAreNotDelivered(t *testing.T) {
	deployment := newDeployment(t)
	deployment.putConfiguration("/a/", "key")
	deployment.listUpstream("u1", cuttingUpstream(t), "ready")
	deployment.networks = map[string]*network{"entry-1": {}, "entry-2": {}}
	entries := map[string]*runningEntry{"direct": deployment.startEntry("entry-2"), "relayed": deployment.startEntry("entry-1")}
	deployment.networks["entry-1"].refuse()
	for _, entry := range entries {
		entry.awaitStatus("/b/", "key", http.StatusNotFound)
	}
	for path, entry := range entries {
		t.Run(path, func(t *testing.T) {
			whole := cutHeads("0123456789012345678")
			for _, form := range []string{"empty", "no content", "interim"} {
				assert.Check(t, entry.callCut(http.MethodPost, form, "close", len(whole[form]))/100 == 2, form)
			}
			statuses := make(map[int]int)
			for form := range whole {
				for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodHead} {
					for number, place := range cutPlaces(whole[form]) {
						end := []string{"close", "reset", "half"}[number%3]
						status := entry.callCut(method, form, end, place)
						statuses[status]++
						assert.Check(t, status == 0 || status >= http.StatusInternalServerError, "%s %s, %s after %d bytes: status %d", method, form, end, place, status)
					}
				}
			}
			t.Logf("answers by status: %v", statuses)
		})
	}
}

// callCut makes a request whose answer is cut, and returns its status; 0 if there is no complete answer.
func (runningEntry *runningEntry) callCut(method, form, end string, at int) int {
	t := runningEntry.deployment.t
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/a/%d", runningEntry.callers, time.Now().UnixNano()), http.NoBody)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header = http.Header{
		"X-Attempt-Id": {fmt.Sprintf("%019d", time.Now().UnixNano())}, "Authorization": {"Bearer key"},
		cutForm: {form}, cutEnd: {end}, cutAt: {strconv.Itoa(at)},
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}
