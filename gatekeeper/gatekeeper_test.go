package gatekeeper

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/throttler"
)

// testPermits grants permits, and counts those that are held.
type testPermits struct {
	// mutex guards the other fields.
	mutex     sync.Mutex
	allowance int
	// after is the time after which asks are decided on, and denied makes them be denied.
	after    time.Duration
	denied   bool
	asks     int
	adopted  int
	held     int
	outcomes []issuer.Outcome
}

func (testPermits *testPermits) Acquire(context.Context, throttler.PermitRequest) throttler.Permit {
	testPermits.mutex.Lock()
	defer testPermits.mutex.Unlock()
	testPermits.asks++
	after := testPermits.after
	testPermits.mutex.Unlock()
	<-time.After(after)
	testPermits.mutex.Lock()
	if testPermits.denied {
		return throttler.Permit{RetryAfter: 300 * time.Millisecond}
	}
	testPermits.held++
	return throttler.Permit{Granted: true, Holding: &throttler.Holding{}}
}

func (testPermits *testPermits) Adopt(throttler.PermitRequest) *throttler.Holding {
	testPermits.mutex.Lock()
	defer testPermits.mutex.Unlock()
	testPermits.adopted++
	testPermits.held++
	return &throttler.Holding{}
}

func (testPermits *testPermits) Return(_ *throttler.Holding, outcome issuer.Outcome) {
	testPermits.mutex.Lock()
	defer testPermits.mutex.Unlock()
	testPermits.held--
	testPermits.outcomes = append(testPermits.outcomes, outcome)
}

func (testPermits *testPermits) Allowance(int) int {
	testPermits.mutex.Lock()
	defer testPermits.mutex.Unlock()
	return testPermits.allowance
}

func (testPermits *testPermits) set(change func(testPermits *testPermits)) {
	testPermits.mutex.Lock()
	defer testPermits.mutex.Unlock()
	change(testPermits)
}

func testNeed() throttler.PermitRequest {
	return throttler.PermitRequest{Start: definer.UpstreamStart{Upstream: "u"}, Connections: 8, Tier: 1}
}

// countGates returns the number of gates.
func (gatekeeper *Gatekeeper) countGates() int {
	gatekeeper.mutex.Lock()
	defer gatekeeper.mutex.Unlock()
	return len(gatekeeper.gates)
}

// bubble runs a test of a started Gatekeeper in synctest time.
func bubble(t *testing.T, allowance int, test func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		permits := &testPermits{allowance: allowance}
		gatekeeper := New(permits)
		ctx, cancel := context.WithCancel(context.Background())
		gatekeeper.Start(ctx)
		test(t, gatekeeper, permits)
		cancel()
		<-gatekeeper.Done()
	})
}

// open opens connections.
func open(t *testing.T, gatekeeper *Gatekeeper, count int) []*Pass {
	t.Helper()
	var passes []*Pass
	for range count {
		pass, err := gatekeeper.Open(context.Background(), testNeed())
		assert.NilError(t, err)
		passes = append(passes, pass)
	}
	return passes
}

// retryAfter returns the time of a denial.
func retryAfter(t *testing.T, gatekeeper *Gatekeeper, need throttler.PermitRequest) time.Duration {
	t.Helper()
	_, err := gatekeeper.Open(context.Background(), need)
	var denial *Denial
	assert.Assert(t, errors.As(err, &denial), "%v", err)
	return denial.RetryAfter
}

// TestPermitsFollowConnections guards against permits for connections that need none, and against permits
// that are kept by a node with fewer connections.
func TestPermitsFollowConnections(t *testing.T) {
	bubble(t, 2, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		passes := open(t, gatekeeper, 2)
		assert.Equal(t, permits.asks, 0)
		assert.Check(t, !passes[0].Scarce())
		passes = append(passes, open(t, gatekeeper, 2)...)
		assert.Equal(t, permits.held, 2)
		assert.Check(t, passes[0].Scarce())
		passes[0].Close()
		passes[0].Close()
		passes[3].Close()
		synctest.Wait()
		assert.Equal(t, permits.held, 0)
		// A permit that is granted once it is no longer needed is returned.
		passes = passes[1:3]
		permits.set(func(testPermits *testPermits) { testPermits.after = 50 * time.Millisecond })
		go func() {
			<-time.After(10 * time.Millisecond)
			passes[0].Close()
			passes[1].Close()
		}()
		last := open(t, gatekeeper, 1)
		synctest.Wait()
		assert.Equal(t, permits.held, 0)
		last[0].Close()
		<-time.After(2 * longestPause)
		assert.Equal(t, gatekeeper.countGates(), 0)
	})
}

// TestConnectionsBeyondSmallerAllowanceAreAdopted guards against connections that no issuer knows of, opened
// while fewer nodes were known or the upstream accepted more.
func TestConnectionsBeyondSmallerAllowanceAreAdopted(t *testing.T) {
	bubble(t, 4, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		passes := open(t, gatekeeper, 4)
		permits.set(func(testPermits *testPermits) { testPermits.allowance = 1 })
		<-time.After(2 * reviewInterval)
		synctest.Wait()
		assert.Equal(t, permits.adopted, 3)
		assert.Check(t, passes[0].Scarce())
		passes[0].Close()
		synctest.Wait()
		assert.Equal(t, permits.held, 2)
		permits.set(func(testPermits *testPermits) { testPermits.allowance = 4 })
		<-time.After(2 * reviewInterval)
		synctest.Wait()
		assert.Equal(t, permits.held, 0)
		for _, pass := range passes[1:] {
			pass.Close()
		}
	})
}

// TestResetPausesConnections guards against further connections to an upstream that resets them, also by a
// request that waited for a permit meanwhile.
func TestResetPausesConnections(t *testing.T) {
	bubble(t, 1, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		for _, pause := range []time.Duration{firstPause, 2 * firstPause, 4 * firstPause, 8 * firstPause, longestPause} {
			pass := open(t, gatekeeper, 1)[0]
			pass.Reset()
			pass.Close()
			assert.Equal(t, retryAfter(t, gatekeeper, testNeed()), pause)
			<-time.After(pause)
		}
		used := open(t, gatekeeper, 1)[0]
		used.Used()
		used.Reset() // It was not new any more.
		permits.set(func(testPermits *testPermits) { testPermits.after = 50 * time.Millisecond })
		go func() {
			<-time.After(10 * time.Millisecond)
			used.Close()
			broken := open(t, gatekeeper, 1)[0]
			broken.Reset()
			broken.Close()
		}()
		assert.Check(t, retryAfter(t, gatekeeper, testNeed()) <= firstPause)
		synctest.Wait()
		assert.Equal(t, permits.held, 0)
	})
}

// TestResetIsReportedToIssuer guards against an issuer that does not learn that the upstream accepts fewer.
func TestResetIsReportedToIssuer(t *testing.T) {
	bubble(t, 0, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		passes := open(t, gatekeeper, 2)
		passes[1].Reset()
		passes[1].Close()
		passes[0].Close()
		synctest.Wait()
		assert.DeepEqual(t, permits.outcomes, []issuer.Outcome{issuer.Rejected, issuer.Served})
	})
	bubble(t, 2, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		passes := open(t, gatekeeper, 2)
		passes[1].Reset()
		passes[1].Close()
		passes[0].Close()
		synctest.Wait()
		assert.DeepEqual(t, permits.outcomes, []issuer.Outcome{issuer.Rejected})
		assert.Equal(t, permits.held, 0)
	})
}

// TestClosedConnectionsLeaveNoGate guards against gates that are never removed: of each start of an upstream
// that reset a connection, and of connections on which something came while they were closed.
func TestClosedConnectionsLeaveNoGate(t *testing.T) {
	bubble(t, 1, func(t *testing.T, gatekeeper *Gatekeeper, _ *testPermits) {
		pass := open(t, gatekeeper, 1)[0]
		pass.Reset()
		pass.Close()
		<-time.After(firstPause + longestPause + 2*reviewInterval)
		assert.Equal(t, gatekeeper.countGates(), 0)
		pass.Used()
		late := &Pass{gatekeeper: gatekeeper, start: testNeed().Start}
		late.Reset()
		assert.Equal(t, gatekeeper.countGates(), 0)
	})
}

// TestDenialIsRemembered guards against an ask by each request while the issuer has no permit: only requests
// of a higher tier and those that wait ask again before the time.
func TestDenialIsRemembered(t *testing.T) {
	bubble(t, 0, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		permits.set(func(testPermits *testPermits) { testPermits.denied = true })
		for range 10 {
			retryAfter(t, gatekeeper, testNeed())
		}
		assert.Equal(t, permits.asks, 1)
		patient, urgent := testNeed(), testNeed()
		patient.Patience, urgent.Tier = time.Second, 0
		retryAfter(t, gatekeeper, patient)
		retryAfter(t, gatekeeper, urgent)
		assert.Equal(t, permits.asks, 3)
		<-time.After(300 * time.Millisecond)
		retryAfter(t, gatekeeper, testNeed())
		assert.Equal(t, permits.asks, 4)
	})
}
