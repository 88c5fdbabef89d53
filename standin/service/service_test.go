package service_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/service"
)

type client struct {
	t   *testing.T
	url string
}

func start(t *testing.T, opts ...service.Option) client {
	t.Helper()
	standin := service.New(append([]service.Option{service.WithLatency(0)}, opts...)...)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(func() {
		assert.NilError(t, standin.Close())
		server.Close()
	})
	return client{t: t, url: server.URL}
}

// reply is the response to a call. Status is 0 if there was no response, and cut is true if the
// body ended early.
type reply struct {
	status int
	notRun bool
	cut    bool
	header string
	answer service.Answer
}

func (client client) call(ctx context.Context, path, attempt, key string) reply {
	request, err := http.NewRequestWithContext(ctx, "POST", client.url+path, strings.NewReader("order"))
	assert.NilError(client.t, err)
	request.Close = true
	request.Header.Set(service.HeaderAttemptID, attempt)
	request.Header.Set(service.HeaderKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	reply := reply{
		status: response.StatusCode,
		notRun: response.Header.Get(service.HeaderNotRun) == "1",
		header: response.Header.Get(service.HeaderAttemptID),
		cut:    err != nil,
	}
	_ = json.Unmarshal(body, &reply.answer)
	return reply
}

func (client client) runs(query string) service.Runs {
	response, err := http.Get(client.url + "/_standin/runs" + query)
	assert.NilError(client.t, err)
	defer response.Body.Close()
	var runs service.Runs
	assert.NilError(client.t, json.NewDecoder(response.Body).Decode(&runs))
	return runs
}

func (client client) setFaults(faults string) {
	response, err := http.Post(client.url+"/_standin/faults", "application/json", strings.NewReader(faults))
	assert.NilError(client.t, err)
	defer response.Body.Close()
	assert.Equal(client.t, response.StatusCode, 200)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name, faults string
		status       int
		notRun, cut  bool
		crossed      bool
		runs         int
	}{
		{name: "none", faults: `{}`, status: 200, runs: 1},
		{name: "slow", faults: `{"slowMs":1,"stallMs":1}`, status: 200, runs: 1},
		{name: "fails before", faults: `{"failBefore":1}`, status: 503, notRun: true},
		{name: "fails after", faults: `{"failAfter":1}`, runs: 1},
		{name: "cut", faults: `{"cutAfterBytes":9}`, status: 200, cut: true, runs: 1},
		{name: "crossed", faults: `{"crossed":1}`, status: 200, crossed: true, runs: 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := start(t)
			client.setFaults(test.faults)
			first := client.call(context.Background(), "/stock", "a1", "k1")
			assert.Equal(t, first.status, test.status)
			assert.Equal(t, first.notRun, test.notRun)
			assert.Equal(t, first.cut, test.cut)
			whole := test.status == 200 && !test.cut
			assert.Equal(t, whole && first.answer.AttemptID != "a1", test.crossed)
			assert.Equal(t, len(client.runs("?attemptId=a1").Runs), test.runs)

			second := client.call(context.Background(), "/stock", "a2", "k1")
			assert.Equal(t, second.answer.Runs, test.runs+1, "the fault must be consumed and the run counted for its key")
			assert.Equal(t, second.header, "a2")
			assert.Equal(t, client.runs("?key=k1").Keys["k1"], test.runs+1)
			assert.Equal(t, second.answer.Echo, fmt.Sprintf("%x", sha256.Sum256([]byte("order"))))
		})
	}
}

func TestDeadNeverAnswersAndNeverRuns(t *testing.T) {
	client := start(t)
	client.setFaults(`{"dead":true}`)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Equal(t, client.call(ctx, "/stock", "a1", "k1").status, 0)
	assert.Equal(t, client.runs("").Total, 0)
	client.setFaults(`{"dead":false}`)
	assert.Equal(t, client.call(context.Background(), "/stock", "a1", "k1").status, 200)
}

func TestCapacityAndARunWhoseClientLeft(t *testing.T) {
	client := start(t, service.WithCapacity(1), service.WithPathLatency("/slow", time.Minute))
	ctx, leave := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { client.call(ctx, "/slow", "a1", "k1") })
	for client.runs("").Total == 0 {
	}
	refused := client.call(context.Background(), "/fast", "a2", "k2")
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, refused.notRun)
	leave()
	group.Wait()
	runs := client.runs("")
	assert.DeepEqual(t, runs.Attempts, map[string]int{"a1": 1})
}

// TestAnnouncements checks that the limit and the leaving notice are in the headers of all
// responses and the backoff only in those of refusals.
func TestAnnouncements(t *testing.T) {
	client := start(t)
	postFaults := func(faults string) {
		response, err := http.Post(client.url+"/_standin/faults", "application/json", strings.NewReader(faults))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	headers := func() http.Header {
		request, err := http.NewRequest(http.MethodPost, client.url+"/items", strings.NewReader("order"))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.Header
	}
	assert.Equal(t, headers().Get("Server-Limit")+headers().Get("Server-Leaving"), "")
	postFaults(`{"limitPerSecond":"2.2","saysLeaving":true,"retryAfterMs":2500,"failBefore":1}`)
	refused := headers()
	assert.Equal(t, refused.Get("Server-Limit"), "2.2")
	assert.Equal(t, refused.Get("Server-Leaving"), "1")
	assert.Equal(t, refused.Get("Retry-After"), "2.5")
	served := headers()
	assert.Equal(t, served.Get("Server-Limit"), "2.2")
	assert.Equal(t, served.Get("Server-Leaving"), "1")
	assert.Equal(t, served.Get("Retry-After"), "")
}
