package connector_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// leave grants leave for connections, and counts those granted and ended.
type leave struct{ granted, ended atomic.Int64 }

func (leave *leave) Open(context.Context) (connector.Pass, error) {
	leave.granted.Add(1)
	return leave, nil
}

func (leave *leave) Used()        {}
func (leave *leave) Reset()       {}
func (leave *leave) Scarce() bool { return false }
func (leave *leave) Close()       { leave.ended.Add(1) }

// Guards against a response to a question, which names no request, that is taken for the response to a request: a
// question has a connection of its own, which is closed after it.
func TestQuestionsHaveConnectionsOfTheirOwn(t *testing.T) {
	named := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n"
	address, connections := startUpstream(t, named, named, named)
	links := connector.New()
	defer links.Close()
	ctx := context.Background()
	exchange := func() connector.Position {
		outgoing := newOutgoing()
		answer, err := links.Exchange(ctx, ctx, address, outgoing)
		assert.NilError(t, err)
		_, err = answer.ReadAll(1)
		assert.NilError(t, err)
		answer.Close()
		return outgoing.Position
	}
	first := exchange()
	status, header, err := links.Ask(ctx, address, "/healthz", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get("Id"), "1")
	assert.Equal(t, exchange(), connector.Position{Connection: first.Connection, Exchange: 2})
	assert.Equal(t, connections(), 2)
	links.Drop(address)
	assert.Equal(t, exchange().Exchange, 1, "the connection of the question was kept")
}

// Guards against connections for questions that are not counted, or counted for good, and against questions without end.
func TestQuestionsNeedLeave(t *testing.T) {
	links := connector.New()
	defer links.Close()
	silent, _ := startUpstream(t, "")
	closed, _ := startUpstream(t)
	for _, address := range []string{silent, closed} {
		leave := &leave{}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, _, err := links.Ask(ctx, address, "/healthz", leave)
		cancel()
		var failure *connector.Error
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.Kind(), connector.Unanswered)
		assert.Equal(t, leave.granted.Load(), int64(1))
		assert.Check(t, leave.ended.Load() > 0)
	}
}

// TestQuestionsPassOverInterimResponses guards against a healthy upstream that counts as unhealthy since an interim response
// came before its answer.
func TestQuestionsPassOverInterimResponses(t *testing.T) {
	address, _ := startUpstream(t, "HTTP/1.1 100 Continue\r\n\r\n"+plainAnswer("1", ""))
	client := connector.New()
	defer client.Close()
	status, _, err := client.Ask(t.Context(), address, "/health", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}
