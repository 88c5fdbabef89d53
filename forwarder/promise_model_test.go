package forwarder_test

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// playedUpstream ends each send in a drawn way, and sends copies of its answers at drawn times.
type playedUpstream struct {
	address string
	seed    uint64
	// runs are those of all upstreams of a play.
	runs *runs
}

// runs counts the runs of requests by their bodies.
type runs struct {
	mutex  sync.Mutex
	counts map[string]int
	// ends counts the drawn ends of sends.
	ends map[string]int
	// later are runs that begin after their connection was closed.
	later sync.WaitGroup
}

func (runs *runs) add(body string) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.counts[body]++
}

// draws returns the random numbers of a matter, whatever others draw meanwhile.
func draws(seed uint64, matter string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, matter)
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

func (upstream *playedUpstream) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var sent []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		expected := request.Header.Get("X-Expect-Runner")
		drawn := draws(upstream.seed, expected+request.URL.RawQuery)
		if drawn.IntN(12) == 0 {
			_ = conn.SetLinger(0) // It resets the connection before it has read the body.
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(sent) > 0 && drawn.IntN(3) == 0 {
			_, _ = io.WriteString(conn, sent[drawn.IntN(len(sent))])
		}
		answer, open := upstream.answer(drawn, conn, request, string(body))
		_, _ = io.WriteString(conn, answer)
		if !open {
			return
		}
		sent = append(sent, answer)
		if drawn.IntN(8) == 0 {
			time.Sleep(time.Duration(drawn.IntN(3)) * time.Millisecond)
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// answer runs the request or refuses it, and returns what is sent and whether the connection stays open.
func (upstream *playedUpstream) answer(drawn *rand.Rand, conn *net.TCPConn, request *http.Request, body string) (answer string, open bool) {
	head := attemptHeader + ": " + request.Header.Get(attemptHeader) + "\r\nKeep-Alive: timeout=30\r\n"
	signed := head + signatureHeader + ": signed\r\n"
	text := "id: 1\ndata: " + body + "\n\n"
	served := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(text), text)
	refused := []int{429, 503, 421, 503}[drawn.IntN(4)]
	unstated := []int{408, 421, 429, 500, 503}[drawn.IntN(5)]
	whole := func(status int, head string) string {
		return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: 4\r\n\r\ntext", status, head)
	}
	end := []string{"served", "served", "refused", "refused", "unnamed", "unstated", "closed", "reset", "cut", "later", "silent"}[drawn.IntN(11)]
	upstream.runs.mutex.Lock()
	upstream.runs.ends[end]++
	upstream.runs.mutex.Unlock()
	switch end {
	case "refused":
		return whole(refused, head+notRunHeader+": 1\r\n"), true
	case "unnamed":
		return whole(refused, notRunHeader+": 1\r\n"), true
	case "later":
		upstream.runs.later.Go(func() {
			time.Sleep(50 * time.Millisecond)
			upstream.runs.add(body)
		})
		return "", false
	}
	upstream.runs.add(body)
	switch end {
	case "unstated":
		return whole(unstated, signed), true
	case "closed":
		return "", false
	case "reset":
		_ = conn.SetLinger(0)
		return "", false
	case "cut":
		return served[:drawn.IntN(len(served))], false
	case "silent":
		time.Sleep(400 * time.Millisecond)
	}
	return served, true
}

func startPlayedUpstream(t *testing.T, seed uint64, runs *runs) *playedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	upstream := &playedUpstream{address: listener.Addr().String(), seed: seed, runs: runs}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			runs.later.Go(func() { upstream.serve(conn.(*net.TCPConn)) })
		}
	}()
	return upstream
}

// playedCall is a request of a play and how it ended; status is 0 if there was no answer.
type playedCall struct {
	body, answer, rule string
	status             int
}

// callRaw sends the request, and closes its sending direction behind it in a drawn share of cases.
func (call *playedCall) callRaw(address, id string, halfClosed bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /%s/?%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nAuthorization: Bearer key\r\nX-Deadline-Ms: 300\r\nContent-Length: %d\r\n\r\n%s",
		call.rule, call.body, attemptHeader, id, len(call.body), call.body)
	if halfClosed {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil {
		call.status, call.answer = answer.StatusCode, string(text)
	}
}

// play sends requests of four callers, which use their few ids again and again, and returns them once no upstream runs
// any more. Every other play ends with a planned stop.
func play(t *testing.T, seed uint64) ([]playedCall, *runs) {
	const callers, each = 4, 30
	harness := newHarness(t)
	harness.configure(func(definition *router.Definition) { definition.Rules[0].MaxAttempts = 3 })
	runs := &runs{counts: make(map[string]int), ends: make(map[string]int)}
	for index := range 2 {
		upstream := startPlayedUpstream(t, seed+uint64(index)<<32, runs)
		harness.add(2*index, upstream.address) // Two names of one address.
		harness.add(2*index+1, upstream.address)
	}
	calls := make([]playedCall, callers*each)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range each {
				call := &calls[caller*each+number]
				call.body = fmt.Sprintf("%d-%d", caller, number)
				drawn := draws(seed, call.body)
				call.rule = []string{"once", "once", "once", "safe", "stream"}[drawn.IntN(5)]
				call.callRaw(harness.address, fmt.Sprintf("a%d", drawn.IntN(4)), drawn.IntN(10) == 0)
				if seed%2 == 1 && caller == 0 && number == each*2/3 {
					harness.forwarder.EndStarts()
				}
			}
		})
	}
	group.Wait()
	harness.forwarder.Cut()
	harness.links.Close()
	runs.later.Wait()
	return calls, runs
}

// TestRefusedRequestsNeverRun checks that a request of which the caller is told that it has not run never runs, however
// its sends end, and that one that may not run twice does not. Requests were refused and ran.
func TestRefusedRequestsNeverRun(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			calls, runs := play(t, seed)
			statuses := make(map[int]int)
			for _, call := range calls {
				statuses[call.status]++
				switch count := runs.counts[call.body]; call.status {
				case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
					assert.Check(t, count == 0, "seed %d: %+v ran", seed, call)
				case http.StatusOK:
					assert.Check(t, strings.Contains(call.answer, "data: "+call.body+"\n"), "seed %d: %+v", seed, call)
				}
				assert.Check(t, call.rule == "safe" || runs.counts[call.body] <= 1, "seed %d: %+v ran %d times", seed, call, runs.counts[call.body])
			}
			t.Logf("statuses %v, ends of sends %v", statuses, runs.ends)
			assert.Check(t, statuses[http.StatusOK] > 0 && statuses[http.StatusServiceUnavailable] > 0 && statuses[http.StatusBadGateway] > 0)
		})
	}
}
