package connector_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// sender sends requests with chosen ids to one upstream.
type sender struct {
	t         *testing.T
	connector *connector.Connector
	address   string
}

func newSender(t *testing.T, answers int) *sender {
	address, _ := startUpstream(t, slices.Repeat([]string{plainAnswer("1", "a")}, answers)...)
	sender := &sender{t: t, connector: connector.New(), address: address}
	t.Cleanup(sender.connector.Close)
	return sender
}

// send sends a request with the id, and returns where.
func (sender *sender) send(id string, reservation *connector.Reservation) connector.Position {
	sender.t.Helper()
	outgoing := newOutgoing()
	outgoing.ID, outgoing.Reservation = id, reservation
	answer, err := sender.connector.Exchange(context.Background(), context.Background(), sender.address, outgoing)
	assert.NilError(sender.t, err)
	_, err = answer.ReadAll(64)
	assert.NilError(sender.t, err)
	answer.Close()
	return outgoing.Position
}

// reserve reserves a connection for a request with the id.
func (sender *sender) reserve(id string) *connector.Reservation {
	sender.t.Helper()
	reservation, err := sender.connector.Reserve(context.Background(), sender.address, id, nil)
	assert.NilError(sender.t, err)
	return reservation
}

// TestNoConnectionCarriesAnIDTwice guards against surplus responses to an earlier send of a request that pass for the
// answer to a later one, as both have its id.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	cases := []struct {
		name  string
		sends func(sender *sender) []connector.Position
		// wanted are the numbers of the connections.
		wanted []uint64
	}{
		{"another id", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("b", nil)}
		}, []uint64{1, 1}},
		{"the same id", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("a", nil)}
		}, []uint64{1, 2}},
		{"the same id after others", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("b", nil), sender.send("a", nil)}
		}, []uint64{1, 1, 2}},
		{"an older connection that has not carried it", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("a", nil), sender.send("b", nil), sender.send("b", nil)}
		}, []uint64{1, 2, 2, 1}},
		{"a connection that is reserved for it", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("a", sender.reserve("a"))}
		}, []uint64{1, 2}},
		{"a connection that is reserved for another", func(sender *sender) []connector.Position {
			return []connector.Position{sender.send("a", nil), sender.send("a", sender.reserve("b"))}
		}, []uint64{1, 2}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var numbers []uint64
			for _, position := range test.sends(newSender(t, 8)) {
				numbers = append(numbers, position.Connection)
			}
			assert.DeepEqual(t, numbers, test.wanted)
		})
	}
}

// TestConnectionsEndAfterManyExchanges guards against ids that are kept without bound.
func TestConnectionsEndAfterManyExchanges(t *testing.T) {
	const bound = 256
	sender := newSender(t, bound+1)
	for number := range bound {
		assert.Equal(t, sender.send(strconv.Itoa(number), nil), connector.Position{Connection: 1, Exchange: number + 1})
	}
	assert.Equal(t, sender.send("a", nil), connector.Position{Connection: 2, Exchange: 1})
}

// TestAnswersToHeadRequestsKeepTheirBounds guards against reading the body of one response as the head of another, or the
// reverse: that a response to a HEAD request has no body is not to be seen in a copy of it.
func TestAnswersToHeadRequestsKeepTheirBounds(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	withoutBody := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n", id, length)
	}
	other := plainAnswer("2", refusal)
	for name, test := range map[string]struct {
		methods []string
		answers []string
	}{
		"a copy with a body before the response to HEAD": {
			[]string{http.MethodGet, http.MethodHead},
			[]string{plainAnswer("1", refusal), other + withoutBody("1", 4)},
		},
		"a copy of the response to HEAD": {
			[]string{http.MethodHead, http.MethodGet},
			[]string{withoutBody("1", 4), withoutBody("2", len(plainAnswer("1", ""))+1) + plainAnswer("1", refusal)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, test.answers...)
			client := connector.New()
			for index, method := range test.methods {
				outgoing := newOutgoing()
				outgoing.Method = method
				answer, err := client.Exchange(t.Context(), t.Context(), address, outgoing)
				assert.NilError(t, err)
				assert.Equal(t, answer.Status, http.StatusOK)
				if index == 0 {
					_, err = answer.ReadAll(1024)
					assert.NilError(t, err)
				}
				answer.Close()
			}
		})
	}
}
