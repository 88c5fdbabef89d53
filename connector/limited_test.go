package connector

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testAdmission grants leave, and counts what is in use.
type testAdmission struct{ granted, closed int }

func (testAdmission *testAdmission) Open(context.Context) (Pass, error) {
	testAdmission.granted++
	return testAdmission, nil
}

func (testAdmission *testAdmission) Used()        {}
func (testAdmission *testAdmission) Reset()       {}
func (testAdmission *testAdmission) Scarce() bool { return false }
func (testAdmission *testAdmission) Close()       { testAdmission.closed++ }

// TestTestsOfPathsKeepNoLimitedConnections guards against connections that are not counted: each node kept
// the one by which it had found its path restored.
func TestTestsOfPathsKeepNoLimitedConnections(t *testing.T) {
	for name, limited := range map[string]bool{"limited": true, "unlimited": false} {
		t.Run(name, func(t *testing.T) {
			address, network := startHTTP(t), &testNetwork{failure: errSlow}
			connector := New(WithDial(network.dial), WithRelay(&testRelay{}))
			defer connector.Close()
			outgoing := &Outgoing{
				Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{}, Repeatable: true,
				Belongs: func(int, http.Header) bool { return true },
			}
			admission := &testAdmission{}
			if limited {
				outgoing.Admission = admission
			}
			answer, err := connector.Exchange(context.Background(), context.Background(), address, outgoing)
			assert.NilError(t, err)
			answer.Close()
			network.set(nil)
			awaitPath(t, connector, address, false)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				connector.mutex.Lock()
				defer connector.mutex.Unlock()
				if kept := len(connector.idle[address]); limited == (kept > 0) {
					return poll.Continue("%d connections are kept", kept)
				}
				return poll.Success()
			}, poll.WithTimeout(pathTimeout), poll.WithDelay(time.Millisecond))
			assert.Equal(t, admission.granted, admission.closed)
		})
	}
}

// TestConnectionsKeepTheirLeave guards against connections that are counted twice, or given back twice: a connection that is
// used for another upstream at its address keeps its leave, which ends with the connection.
func TestConnectionsKeepTheirLeave(t *testing.T) {
	address := startHTTP(t)
	connector := New()
	first, second := &testAdmission{}, &testAdmission{}
	for number, admission := range []*testAdmission{first, second, second} {
		outgoing := &Outgoing{
			Method: http.MethodGet, ID: strconv.Itoa(number), Target: "/", Host: "host", Header: http.Header{}, Admission: admission,
			Belongs: func(int, http.Header) bool { return true },
		}
		answer, err := connector.Exchange(t.Context(), t.Context(), address, outgoing)
		assert.NilError(t, err)
		_, err = answer.ReadAll(1 << 10)
		assert.NilError(t, err)
		answer.Close()
		if number == 1 {
			assert.Equal(t, second.granted, 0)
			assert.Equal(t, first.closed, 0)
			connector.Drop(address)
			assert.Equal(t, first.closed, 1)
		}
	}
	connector.Close()
	assert.Equal(t, *first, testAdmission{granted: 1, closed: 1})
	assert.Equal(t, *second, testAdmission{granted: 1, closed: 1})
}
