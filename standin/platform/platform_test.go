package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/platform"
)

// client sends requests to one platform over a loopback socket.
type client struct {
	t   *testing.T
	url string
}

func start(t *testing.T, opts ...platform.Option) client {
	t.Helper()
	standin := platform.New(opts...)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(func() {
		assert.NilError(t, standin.Close())
		server.Close()
	})
	return client{t: t, url: server.URL}
}

// call returns the status and the body of the response. It returns status 0 and the text of the
// error if the connection was closed without a response. headers holds names and values in turn.
func (client client) call(method, path, body string, headers ...string) (int, string) {
	client.t.Helper()
	request, err := http.NewRequest(method, client.url+path, strings.NewReader(body))
	assert.NilError(client.t, err)
	request.Close = true
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] != "" {
			request.Header.Set(headers[i], headers[i+1])
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(client.t, err)
	return response.StatusCode, strings.TrimSpace(string(answer))
}

func object(name string, version int, value string, deleted bool) string {
	return fmt.Sprintf(`{"kind":"rule","name":"%s","version":%d,"value":%s,"deleted":%t}`, name, version, value, deleted)
}

func TestCallsInOrder(t *testing.T) {
	client := start(t, platform.WithHistoryLimit(4))
	notFound := `{"error":{"message":"no such object","type":"notFound"}}`
	steps := []struct {
		method, path, body, header, value string
		status                            int
		answer                            string
	}{
		{"GET", "/objects/rule/a", "", "", "", 404, notFound},
		{"PUT", "/objects/rule/a", "1", "If-Match", "3", 412, `{"version":0}`},
		{"PUT", "/objects/rule/a", "1", "If-None-Match", "*", 200, object("a", 1, "1", false)},
		{"PUT", "/objects/rule/a", "2", "If-None-Match", "*", 412, object("a", 1, "1", false)},
		{"PUT", "/objects/rule/a", "2", "If-Match", "1", 200, object("a", 2, "2", false)},
		{"PUT", "/objects/rule/a", "9", "If-Match", "1", 412, object("a", 2, "2", false)},
		{"PUT", "/objects/rule/b", "{}", "", "", 200, object("b", 3, "{}", false)},
		{"PUT", "/objects/rule/b", "{", "", "", 400, ""},
		{"PUT", "/objects/rule/b", "1", "If-Match", "x", 400, ""},
		{"PUT", "/objects/rule/c", strings.Repeat(" ", 1<<20), "", "", 400, ""},
		{"PUT", "/objects/rule/c", strings.Repeat("1", 1<<20+1), "", "", 413, ""},
		{"GET", "/objects/rule", "", "", "", 200, `{"items":[` + object("a", 2, "2", false) + "," + object("b", 3, "{}", false) + `],"revision":3}`},
		{"DELETE", "/objects/rule/a", "", "If-Match", "1", 412, object("a", 2, "2", false)},
		{"DELETE", "/objects/rule/a", "", "If-Match", "2", 200, object("a", 4, "2", true)},
		{"DELETE", "/objects/rule/a", "", "", "", 404, `{"version":0}`},
		{"GET", "/watch/rule?since=2&timeoutMs=0", "", "", "", 200, `{"items":[` + object("b", 3, "{}", false) + "," + object("a", 4, "2", true) + `],"revision":4}`},
		{"GET", "/watch/rule?since=4&timeoutMs=1", "", "", "", 200, `{"items":[],"revision":4}`},
		{"GET", "/watch/rule?since=5&timeoutMs=1", "", "", "", 410, ""},
		{"PUT", "/objects/rule/a", "3", "If-None-Match", "*", 200, object("a", 5, "3", false)},
		{"GET", "/watch/rule?since=0&timeoutMs=1", "", "", "", 410, ""},
		{"GET", "/watch/other?since=1&timeoutMs=1", "", "", "", 200, `{"items":[],"revision":5}`},
		{"GET", "/watch/rule?since=x", "", "", "", 400, ""},
	}
	for _, step := range steps {
		status, answer := client.call(step.method, step.path, step.body, step.header, step.value)
		name := step.method + " " + step.path + " " + step.value
		assert.Equal(t, status, step.status, "%s: %s", name, answer)
		if step.answer != "" {
			assert.Equal(t, answer, step.answer, name)
		}
	}
}

func TestWatchWakesOnWrite(t *testing.T) {
	client := start(t)
	var group sync.WaitGroup
	group.Go(func() {
		status, answer := client.call("GET", "/watch/rule?since=0&timeoutMs=60000", "")
		assert.Check(t, status == 200 && strings.Contains(answer, `"name":"a"`), answer)
	})
	for calls := ""; !strings.Contains(calls, `"watches":1`); {
		_, calls = client.call("GET", "/calls", "")
	}
	client.call("PUT", "/objects/rule/a", "1")
	group.Wait()
}

func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name, faults string
		status       int
		effect       bool
	}{
		{"lost answer", `{"loseAnswers":1}`, 0, true},
		{"lost answer of the kind", `{"loseAnswers":1,"loseAnswersKind":"rule"}`, 0, true},
		{"lost answer of another kind", `{"loseAnswers":1,"loseAnswersKind":"claim"}`, 200, true},
		{"failed write", `{"failWrites":1}`, 500, false},
		{"outage", `{"outage":true}`, 503, false},
		{"slow", `{"slowMs":1}`, 200, true},
		{"unknown fault", `{"outrage":true}`, 200, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := start(t)
			client.call("POST", "/faults", test.faults)
			status, answer := client.call("PUT", "/objects/rule/a", "1")
			assert.Equal(t, status, test.status, answer)
			client.call("POST", "/faults", `{"outage":false}`)
			status, _ = client.call("GET", "/objects/rule/a", "")
			assert.Equal(t, status == 200, test.effect)
			status, answer = client.call("PUT", "/objects/rule/b", "1")
			assert.Equal(t, status, 200, "a write after the fault must succeed: %s", answer)
		})
	}
}

func TestOutageHangsUntilTheClientGivesUp(t *testing.T) {
	client := start(t)
	client.call("POST", "/faults", `{"outage":true,"outageHang":true}`)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", client.url+"/objects/rule", nil)
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// manualClock is a clock that advances only by add.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (clock *manualClock) current() time.Time {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	return clock.now
}

func (clock *manualClock) add(duration time.Duration) {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.now = clock.now.Add(duration)
}

func TestVMListLags(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	client := start(t, platform.WithListLag(time.Second), platform.WithClock(clock.current))
	names := func() string {
		_, answer := client.call("GET", "/vms", "")
		var list platform.VMList
		assert.NilError(t, json.Unmarshal([]byte(answer), &list))
		text := ""
		for _, vm := range list.VMs {
			text += vm.Name + ":" + vm.State + " "
		}
		return text
	}
	steps := []struct{ method, state, before, after string }{
		{"PUT", "live", "", "e1:live "},
		{"PUT", "leaving", "e1:live ", "e1:leaving "},
		{"DELETE", "", "e1:leaving ", ""},
	}
	for _, step := range steps {
		body := `{"dataCentre":"north","address":"127.0.0.1:1","role":"entry","state":"` + step.state + `"}`
		client.call(step.method, "/vms/e1", body)
		clock.add(999 * time.Millisecond)
		assert.Equal(t, names(), step.before)
		clock.add(time.Millisecond)
		assert.Equal(t, names(), step.after)
	}
}

func TestRatesAndToken(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	client := start(t, platform.WithRates(1, 2), platform.WithToken("key"), platform.WithClock(clock.current))
	steps := []struct {
		method, path, token string
		pause               time.Duration
		status              int
	}{
		{"GET", "/objects/rule", "wrong", 0, 401},
		{"GET", "/objects/rule", "key", 0, 200},
		{"GET", "/watch/rule?since=0&timeoutMs=0", "key", 0, 200},
		{"GET", "/vms", "key", 0, 429},
		{"PUT", "/objects/rule/a", "key", 0, 200},
		{"PUT", "/objects/rule/a", "key", 0, 429},
		{"PUT", "/objects/rule/a", "key", time.Second, 200},
		{"GET", "/vms", "key", 0, 200},
	}
	for _, step := range steps {
		clock.add(step.pause)
		status, answer := client.call(step.method, step.path, "1", "Authorization", "Bearer "+step.token)
		assert.Equal(t, status, step.status, "%s %s: %s", step.method, step.path, answer)
	}
	_, answer := client.call("GET", "/calls", "", "Authorization", "Bearer key")
	assert.Equal(t, answer, `{"reads":3,"writes":3,"watches":1,"limited":2}`)
}

func TestCloseEndsServeAndWatches(t *testing.T) {
	defer goleak.VerifyNone(t)
	standin := platform.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client := client{t: t, url: "http://" + listener.Addr().String()}
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, standin.Serve(context.Background(), listener) == nil) })
	group.Go(func() {
		status, _ := client.call("GET", "/watch/rule?since=0&timeoutMs=60000", "")
		assert.Check(t, status != 200)
	})
	for calls := ""; !strings.Contains(calls, `"watches":1`); {
		_, calls = client.call("GET", "/calls", "")
	}
	assert.NilError(t, standin.Close())
	group.Wait()
}
