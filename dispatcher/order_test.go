package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/orderer"
	"limpetcleat/standin/engine"
)

// TestOrder gives orders to a real stand-in engine: the last of each case is
// the one whose answer counts.
func TestOrder(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(time.Minute) }
	load := func(model string, fencing uint64) orderer.Order {
		return orderer.Order{Act: orderer.Load, Model: model, Fencing: fencing, SendBy: soon(), Timeout: 10 * time.Second}
	}
	late := load("late", 9)
	late.SendBy = time.Now()
	read := orderer.Order{Act: orderer.ReadState, SendBy: soon(), Timeout: 10 * time.Second}
	unload, role := load("m", 3), load("", 3)
	unload.Act = orderer.Unload
	role.Act, role.Role = orderer.SetRole, "prefill"
	unknown := role
	unknown.Act = "explode"
	cases := []struct {
		name     string
		fencing  bool
		orders   []orderer.Order
		outcome  orderer.Outcome
		models   []string
		takeRole string
	}{
		{"load", true, []orderer.Order{load("n", 3)}, orderer.Taken, []string{"m", "n"}, ""},
		{"load twice", true, []orderer.Order{load("n", 3), load("n", 3)}, orderer.Taken, []string{"m", "n"}, ""},
		{"unload", true, []orderer.Order{unload}, orderer.Taken, []string{}, ""},
		{"role", true, []orderer.Order{role}, orderer.Taken, []string{"m"}, "prefill"},
		{"read", true, []orderer.Order{load("n", 3), read}, orderer.Taken, []string{"m", "n"}, ""},
		{"old number, checked", true, []orderer.Order{load("n", 4), load("o", 3)}, orderer.OldFencing, []string{"m", "n"}, ""},
		{"old number, not checked", false, []orderer.Order{load("n", 4), load("o", 3)}, orderer.Taken, []string{"m", "n", "o"}, ""},
		{"refused", true, []orderer.Order{unknown}, orderer.Refused, []string{"m"}, ""},
		{"too late", false, []orderer.Order{late}, orderer.Unsent, []string{"m"}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := engine.New(engine.WithModels("m"), engine.WithFencing(test.fencing))
			defer func() { _ = runner.Close() }()
			server := httptest.NewServer(runner.Handler())
			defer server.Close()
			client := dispatcher.New()
			defer client.Close()
			last := give(client, upstreamAt(t, server.Listener.Addr()), test.orders...)
			assert.Equal(t, last.Outcome, test.outcome)
			after := give(client, upstreamAt(t, server.Listener.Addr()), read)
			assert.DeepEqual(t, after.State.Models, test.models)
			assert.Assert(t, test.takeRole == "" || after.State.Role == test.takeRole)
			assert.Assert(t, last.Outcome != orderer.Taken || last.Known)
		})
	}
}

// give gives orders one after the other and returns the last answer.
func give(client *dispatcher.Dispatcher, upstream *definer.Upstream, orders ...orderer.Order) orderer.OrderAnswer {
	var last orderer.OrderAnswer
	for index, order := range orders {
		order.Number, order.Upstream = uint64(index+1), upstream
		told := make(chan decider.OrderAnswered, 1)
		client.Order(decider.OrderUpstream{Order: order}, func(answer decider.OrderAnswered) { told <- answer })
		last = (<-told).OrderAnswer
	}
	return last
}

func upstreamAt(t *testing.T, address net.Addr) *definer.Upstream {
	t.Helper()
	document := fmt.Sprintf(`{"pools":[{"name":"p","kind":"engine","upstreams":[{"name":"e","dataCentre":"dc","address":%q,"slots":1}]}]}`, address)
	configuration, err := definer.Parse(1, []byte(document))
	assert.NilError(t, err)
	return configuration.Pools()[0].Upstreams()[0]
}

func TestOrderWithoutAnswer(t *testing.T) {
	release := make(chan struct{})
	silent := serve(t, func(_ int64, _ net.Conn, _ *http.Request) bool { <-release; return false })
	defer close(release)
	client := dispatcher.New()
	defer client.Close()
	order := orderer.Order{Act: orderer.Load, Model: "m", SendBy: time.Now().Add(time.Minute), Timeout: 50 * time.Millisecond}
	assert.Equal(t, give(client, upstreamAt(t, silent.listener.Addr()), order).Outcome, orderer.Unanswered)
	assert.Equal(t, silent.requests.Load(), int64(1))
}
