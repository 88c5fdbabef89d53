package tester

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// refusalTimeout is the time within which a request must be refused if no limit has capacity
	// for it; the request itself may take RuleTimeout.
	refusalTimeout = time.Second
	// sentAtHeader holds the time at which a caller sent its request.
	sentAtHeader = "X-Sent-At"
)

// Exchange is one request of a caller with its reply.
type Exchange struct {
	SentAt time.Time
	Reply  Reply
}

// SentAt returns the time at which SendLoad sent a request; zero if it did not.
func SentAt(request *http.Request) time.Time {
	at, err := time.Parse(time.RFC3339Nano, request.Header.Get(sentAtHeader))
	if err != nil {
		return time.Time{}
	}
	return at
}

// SendLoad sends requests at the given rate, evenly distributed over the nodes, and returns the
// exchanges.
func SendLoad(nodes []*Node, perSecond float64, duration time.Duration) []Exchange {
	const callers = 16
	byClient := make([][]Exchange, callers)
	startedAt, interval := time.Now(), time.Duration(callers/perSecond*float64(time.Second))
	var group conc.WaitGroup
	for number := range callers {
		group.Go(func() {
			client := NewClient(nodes[0].T)
			dueAt := startedAt.Add(interval * time.Duration(number) / callers)
			for count := 0; dueAt.Before(startedAt.Add(duration)); count++ {
				<-time.After(time.Until(dueAt))
				at := time.Now()
				request := nodes[(number+count)%len(nodes)].Request("/safe/")
				request.Header.Set(sentAtHeader, at.Format(time.RFC3339Nano))
				byClient[number] = append(byClient[number], Exchange{SentAt: at, Reply: client.Send(request)})
				dueAt = dueAt.Add(interval)
			}
		})
	}
	group.Wait()
	var exchanges []Exchange
	for _, clientExchanges := range byClient {
		exchanges = append(exchanges, clientExchanges...)
	}
	return exchanges
}

// StartSafeNodes starts nodes with a rule whose requests may be repeated.
func StartSafeNodes(t *testing.T, fleet *Fleet, count int) []*Node {
	t.Helper()
	rule := UnsafeRule("/safe/")
	rule["route_type"], rule["max_attempts"] = "safe", 2
	fleet.Configure(rule)
	var nodes []*Node
	for number := range count {
		nodes = append(nodes, fleet.StartNode(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range nodes {
		node.AwaitReady()
	}
	return nodes
}

// CountOutcomes counts the served and the refused callers. It checks that refusals are fast and
// have a retry delay, and that there is no other outcome.
func CountOutcomes(t *testing.T, replies []Exchange) (served, refused int) {
	t.Helper()
	for _, request := range replies {
		switch request.Reply.Status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			assert.Check(t, request.Reply.RetryAfter > 0 && request.Reply.Took < refusalTimeout, "%v", request.Reply)
		default:
			t.Errorf("unexpected reply %v", request.Reply)
		}
	}
	return served, refused
}
