package follower_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/follower"
)

// dutyStore answers lists and watches at once, except for late, and records the calls
// and the readings that it gets as a sink.
type dutyStore struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	made  []string
	// old is the version that stale lists return, current that of other lists.
	old, current uint64
	failing      bool
	// late is how long a stale list takes.
	late time.Duration
	// silent is set while other lists get no answer.
	silent   bool
	held     uint64
	readings []follower.Reading
}

// locked runs a function that reads or sets fields while mutex is held.
func (store *dutyStore) locked(run func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	run()
}

// calls returns the calls made so far.
func (store *dutyStore) calls() []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Clone(store.made)
}

func (store *dutyStore) List(ctx context.Context) ([]uint64, uint64, error) {
	if follower.IsStale(ctx) {
		store.locked(func() { store.made = append(store.made, "old list") })
		time.Sleep(store.late)
		return []uint64{store.old}, store.old, nil
	}
	failing := false
	store.locked(func() {
		store.made = append(store.made, "list "+string(follower.ReasonOf(ctx)))
		failing = store.failing
	})
	if store.silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if failing {
		return nil, 0, lost()
	}
	return []uint64{store.current}, store.current, nil
}

func (store *dutyStore) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]uint64, follower.Revisions, error) {
	store.locked(func() { store.made = append(store.made, "watch "+string(follower.ReasonOf(ctx))) })
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, follower.Revisions{Current: revision}, ctx.Err()
}

func (store *dutyStore) Replace(versions []uint64, reading follower.Reading) {
	store.locked(func() {
		store.held = max(store.held, versions[0])
		store.readings = append(store.readings, reading)
	})
}

// holds returns the newest version that the follower has handed to the sink.
func (store *dutyStore) holds() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.held
}

func (store *dutyStore) Apply([]uint64, follower.Reading) {}

// runOffDuty runs a test with a follower whose duty is off.
func runOffDuty(t *testing.T, store *dutyStore, test func(following *follower.Follower[uint64, uint64], duty *follower.Duty), options ...follower.Option[uint64, uint64]) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		duty := follower.NewDuty(false)
		following := follower.New[uint64, uint64](store, store, append(options, follower.WithDuty[uint64, uint64](duty))...)
		ctx, cancel := context.WithCancel(t.Context())
		go following.Run(ctx)
		synctest.Wait()
		test(following, duty)
		cancel()
		<-following.Done()
	})
}

// TestRestingFollowerAsksNothing checks that the store is called only while the duty is
// on, and that the confirmed time does not change while it is off.
func TestRestingFollowerAsksNothing(t *testing.T) {
	store := &dutyStore{current: 7}
	runOffDuty(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		time.Sleep(time.Minute)
		assert.Equal(t, len(store.calls()), 0)
		duty.Set(true)
		time.Sleep(3 * time.Second)
		assert.Assert(t, following.Healthy() && store.holds() == 7)
		duty.Set(false)
		time.Sleep(2 * follower.DefaultWait)
		asked, confirmed := len(store.calls()), following.Confirmed()
		time.Sleep(time.Minute)
		assert.Equal(t, len(store.calls()), asked)
		assert.Equal(t, following.Confirmed(), confirmed)
		duty.Set(true)
		synctest.Wait()
		assert.Assert(t, !following.Failing())
	})
}

// TestResumeGoesOnFromWhereTheSinkIs checks that a node that comes on duty watches from
// the position of its sink, first with a short wait, and lists only if the position is
// unknown.
func TestResumeGoesOnFromWhereTheSinkIs(t *testing.T) {
	for position, want := range map[uint64][]string{0: {"list starting", "watch changed"}, 40: {"watch hurried", "watch standing"}} {
		store := &dutyStore{current: 7}
		runOffDuty(t, store, func(_ *follower.Follower[uint64, uint64], duty *follower.Duty) {
			duty.Set(true)
			time.Sleep(time.Second)
			assert.DeepEqual(t, store.calls(), want)
		}, follower.WithPosition[uint64, uint64](func() uint64 { return position }))
	}
}

// TestLookTriesWhereItCostsLeast checks that a lookup first allows a stale list, then
// lists from the store with growing pauses, and stops once the version has arrived.
func TestLookTriesWhereItCostsLeast(t *testing.T) {
	cases := []struct {
		name  string
		store *dutyStore
		want  []string
	}{
		{"new enough", &dutyStore{old: 9, current: 9}, []string{"old list"}},
		{"too old", &dutyStore{old: 8, current: 9}, []string{"old list", "list told"}},
		{"failing", &dutyStore{old: 8, current: 9, failing: true}, []string{"old list", "list told", "list told", "list told"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := test.store
			wanted := func() bool { return store.holds() < 9 }
			runOffDuty(t, store, func(_ *follower.Follower[uint64, uint64], duty *follower.Duty) {
				duty.RequestLookup()
				time.Sleep(3 * time.Second)
				assert.DeepEqual(t, store.calls(), test.want)
				store.locked(func() { assert.Assert(t, store.readings[0].Stale) })
			}, follower.WithNewerKnown[uint64, uint64](wanted))
		})
	}
}

// TestOldAnswersAreNotTakenForWhatTheStoreSaysNow checks that a stale list of a lookup
// confirms nothing if its answer comes after the node has gone on duty.
func TestOldAnswersAreNotTakenForWhatTheStoreSaysNow(t *testing.T) {
	store := &dutyStore{old: 3, current: 9, late: 2 * time.Second}
	runOffDuty(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.RequestLookup()
		time.Sleep(100 * time.Millisecond)
		store.locked(func() { store.failing = true })
		duty.Set(true)
		time.Sleep(4 * time.Second)
		assert.Assert(t, following.Confirmed().IsZero(), "confirmed up to %v", following.Confirmed())
		assert.Assert(t, following.Failing())
	}, follower.WithNewerKnown[uint64, uint64](func() bool { return true }))
}

// TestLateOldAnswersStayOldInALookup guards against the answer to a stale list that is taken for that to the list of
// the store itself which was asked for meanwhile.
func TestLateOldAnswersStayOldInALookup(t *testing.T) {
	store := &dutyStore{old: 3, current: 9, late: time.Second, silent: true}
	runOffDuty(t, store, func(_ *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.RequestLookup()
		time.Sleep(2 * time.Second)
		store.locked(func() { assert.DeepEqual(t, store.readings, []follower.Reading{{Revision: 3, Stale: true}}) })
	}, follower.WithNewerKnown[uint64, uint64](func() bool { return true }))
}

// TestPauseEndsWhenOthersRelyOnTheNode checks that a node in a long pause after
// failures, taken since other nodes asked too, calls the store soon after the bound of
// the pause falls because others rely on it, and that a node whose duty ended during the
// pause starts afresh when the duty returns.
func TestPauseEndsWhenOthersRelyOnTheNode(t *testing.T) {
	const short = 500 * time.Millisecond
	var longest atomic.Int64
	longest.Store(int64(time.Minute))
	store := &dutyStore{current: 7, failing: true}
	runOffDuty(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.Set(true)
		time.Sleep(10 * time.Minute)
		store.locked(func() { store.failing = false })
		longest.Store(int64(short))
		time.Sleep(2 * short)
		assert.Assert(t, following.Healthy())

		store.locked(func() { store.failing = true })
		longest.Store(int64(time.Minute))
		time.Sleep(10 * time.Minute)
		duty.Set(false)
		time.Sleep(2 * short)
		store.locked(func() { store.failing = false })
		asked := len(store.calls())
		duty.Set(true)
		time.Sleep(short)
		assert.Assert(t, following.Healthy() && len(store.calls()) > asked)
	}, follower.WithMaxPause[uint64, uint64](func() time.Duration { return time.Duration(longest.Load()) }))
}

// TestHealthEndsWithTheDuty guards against a node that takes the answers of an earlier duty for a sign
// that the store answers it now.
func TestHealthEndsWithTheDuty(t *testing.T) {
	store := &dutyStore{current: 1}
	runOffDuty(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.Set(true)
		time.Sleep(time.Second)
		assert.Assert(t, following.Healthy())
		duty.Set(false)
		time.Sleep(2 * follower.DefaultWait)
		assert.Assert(t, !following.Healthy())
	})
}
