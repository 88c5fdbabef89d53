package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
	"limpetcleat/recorder"
)

const token = "operators-token-of-the-test"

// node is an operator.Node that counts the calls of Drain.
type node struct{ drains int }

// Status returns a status with the name of the VM alone.
func (*node) Status() decider.Status { return decider.Status{VM: "entry-1"} }

// Drain counts the call.
func (node *node) Drain() { node.drains++ }

// Snapshot returns an empty snapshot.
func (*node) Snapshot() recorder.Snapshot { return recorder.Snapshot{} }

// Configuration returns nil.
func (*node) Configuration() *definer.Configuration { return nil }

// Quarantine returns an empty quarantine.
func (*node) Quarantine() operator.Quarantine { return quarantiner.New() }

// Metrics returns a handler that answers 404 Not Found.
func (*node) Metrics() http.Handler { return http.NotFoundHandler() }

// journal is a log that collects the events, with the pairs of each.
type journal struct {
	mutex   sync.Mutex
	numbers []int
	pairs   [][]any
}

func (journal *journal) log(number int, pairs ...any) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.numbers = append(journal.numbers, number)
	journal.pairs = append(journal.pairs, pairs)
}

// serve starts the operators' interface of the node and returns its address.
func serve(t *testing.T, node *node, journal *journal, token string) string {
	t.Helper()
	server := httptest.NewServer(operator.New(node, token, operator.WithLog(journal.log)).Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestOnlyTheTokenOpens(t *testing.T) {
	cases := []struct {
		name, wanted, given string
		open                bool
	}{
		{"right", token, token, true},
		{"wrong", token, "another-token-of-the-test", false},
		{"longer", token, token + "x", false},
		{"none", token, "", false},
		{"none is wanted", "", "", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			node, journal := &node{}, &journal{}
			client := operator.NewClient([]string{serve(t, node, journal, test.wanted)}, test.given)
			answer := client.Drain(t.Context())[0]
			assert.Equal(t, answer.Failure() == nil, test.open)
			assert.Equal(t, node.drains == 1, test.open)
			wanted := logger.EventOperatorRejected
			if test.open {
				wanted = logger.EventDrainRequested
			}
			assert.DeepEqual(t, journal.numbers, []int{wanted})
		})
	}
}

// TestHeldOffIsGuarded checks that held-off requests are listed with the token only, and that a
// lift without it is rejected.
func TestHeldOffIsGuarded(t *testing.T) {
	address := serve(t, &node{}, &journal{}, token)
	for _, given := range []string{token, "wrong"} {
		client := operator.NewClient([]string{address}, given)
		assert.Equal(t, client.HeldOff(t.Context())[0].Failure() == nil, given == token)
	}
	refused := operator.NewClient([]string{address}, "wrong").Lift(t.Context(), "00")[0].Failure()
	assert.ErrorContains(t, refused, "401")
}

// TestRejectionsAreCountedNotFlooded makes many calls with a wrong token, one after the other. It
// checks that they are not logged one by one, and that the log does not contain the token.
func TestRejectionsAreCountedNotFlooded(t *testing.T) {
	journal := &journal{}
	address := serve(t, &node{}, journal, token)
	client := operator.NewClient([]string{address}, "wrong")
	for range 200 {
		assert.Assert(t, client.Status(t.Context())[0].Failure() != nil)
	}
	assert.Assert(t, len(journal.numbers) < 100, len(journal.numbers))
	for _, pairs := range journal.pairs {
		for _, value := range pairs {
			assert.Assert(t, value != "wrong")
		}
	}
}

func TestAnswersKeepTheOrderOfTheNodes(t *testing.T) {
	addresses := []string{serve(t, &node{}, &journal{}, token), "127.0.0.1:1", serve(t, &node{}, &journal{}, token)}
	for index, answer := range operator.NewClient(addresses, token).Status(t.Context()) {
		assert.Equal(t, answer.Address(), addresses[index])
		assert.Equal(t, answer.Failure() != nil, index == 1)
		assert.Equal(t, answer.Value().VM == "entry-1", index != 1)
	}
}

func TestHealthNeedsNoToken(t *testing.T) {
	response, err := http.Get("http://" + serve(t, &node{}, &journal{}, token) + "/healthz")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
