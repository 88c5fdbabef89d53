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

// dutyStore answers lists and watches at once and notes what it is asked and told.
type dutyStore struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	asked []string
	// stale lists are answered with old, others with current.
	old, current uint64
	failing      bool
	// late is how long lists that may be old take.
	late time.Duration
	held uint64
	told []follower.Reading
}

// with runs what reads or sets fields.
func (store *dutyStore) with(run func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	run()
}

// questions returns what was asked so far.
func (store *dutyStore) questions() []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Clone(store.asked)
}

func (store *dutyStore) List(ctx context.Context) ([]uint64, uint64, error) {
	if follower.IsStale(ctx) {
		store.with(func() { store.asked = append(store.asked, "old list") })
		time.Sleep(store.late)
		return []uint64{store.old}, store.old, nil
	}
	failing := false
	store.with(func() {
		store.asked = append(store.asked, "list "+string(follower.ReasonOf(ctx)))
		failing = store.failing
	})
	if failing {
		return nil, 0, lost()
	}
	return []uint64{store.current}, store.current, nil
}

func (store *dutyStore) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]uint64, uint64, error) {
	store.with(func() { store.asked = append(store.asked, "watch "+string(follower.ReasonOf(ctx))) })
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, revision, ctx.Err()
}

func (store *dutyStore) Replace(versions []uint64, reading follower.Reading) {
	store.with(func() {
		store.held = max(store.held, versions[0])
		store.told = append(store.told, reading)
	})
}

// holds returns the newest version that was handed on.
func (store *dutyStore) holds() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.held
}

func (store *dutyStore) Apply([]uint64, follower.Reading) {}

// resting runs a test with a follower that is not to ask.
func resting(t *testing.T, store *dutyStore, test func(following *follower.Follower[uint64, uint64], duty *follower.Duty), options ...follower.Option[uint64, uint64]) {
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

// TestRestingFollowerAsksNothing holds that the store is asked only while it is this
// node's duty, and that what it confirmed before stays what it was.
func TestRestingFollowerAsksNothing(t *testing.T) {
	store := &dutyStore{current: 7}
	resting(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		time.Sleep(time.Minute)
		assert.Equal(t, len(store.questions()), 0)
		duty.Set(true)
		time.Sleep(3 * time.Second)
		assert.Assert(t, following.Healthy() && store.holds() == 7)
		duty.Set(false)
		time.Sleep(2 * follower.DefaultWait)
		asked, confirmed := len(store.questions()), following.Confirmed()
		time.Sleep(time.Minute)
		assert.Equal(t, len(store.questions()), asked)
		assert.Equal(t, following.Confirmed(), confirmed)
		duty.Set(true)
		synctest.Wait()
		assert.Assert(t, !following.Failing())
	})
}

// TestResumeGoesOnFromWhereTheSinkIs holds that a node which takes over watches from what
// it was told, with a call that is answered at once, and lists only if it knows nothing.
func TestResumeGoesOnFromWhereTheSinkIs(t *testing.T) {
	for position, want := range map[uint64][]string{0: {"list starting", "watch changed"}, 40: {"watch hurried", "watch standing"}} {
		store := &dutyStore{current: 7}
		resting(t, store, func(_ *follower.Follower[uint64, uint64], duty *follower.Duty) {
			duty.Set(true)
			time.Sleep(time.Second)
			assert.DeepEqual(t, store.questions(), want)
		}, follower.WithPosition[uint64, uint64](func() uint64 { return position }))
	}
}

// TestLookTriesWhereItCostsLeast holds that what a peer told of is looked for first where
// the answer may be old, then at the store, with pauses that grow, and no more once it has
// come.
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
			resting(t, store, func(_ *follower.Follower[uint64, uint64], duty *follower.Duty) {
				duty.Look()
				time.Sleep(3 * time.Second)
				assert.DeepEqual(t, store.questions(), test.want)
				store.with(func() { assert.Assert(t, store.told[0].Stale) })
			}, follower.WithWanted[uint64, uint64](wanted))
		})
	}
}

// TestOldAnswersAreNotTakenForWhatTheStoreSaysNow holds that the answer to a look, which
// may be old and comes when the node has taken over, confirms nothing.
func TestOldAnswersAreNotTakenForWhatTheStoreSaysNow(t *testing.T) {
	store := &dutyStore{old: 3, current: 9, late: 2 * time.Second}
	resting(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.Look()
		time.Sleep(100 * time.Millisecond)
		store.with(func() { store.failing = true })
		duty.Set(true)
		time.Sleep(4 * time.Second)
		assert.Assert(t, following.Confirmed().IsZero(), "confirmed up to %v", following.Confirmed())
		assert.Assert(t, following.Failing())
	}, follower.WithWanted[uint64, uint64](func() bool { return true }))
}

// TestPauseEndsWhenOthersRelyOnTheNode holds that a node which paused for long behind a
// failure, since others asked too, asks soon once it is the one that they rely on, and
// that one whose duty ended meanwhile begins anew when it has it again.
func TestPauseEndsWhenOthersRelyOnTheNode(t *testing.T) {
	const short = 500 * time.Millisecond
	var longest atomic.Int64
	longest.Store(int64(time.Minute))
	store := &dutyStore{current: 7, failing: true}
	resting(t, store, func(following *follower.Follower[uint64, uint64], duty *follower.Duty) {
		duty.Set(true)
		time.Sleep(10 * time.Minute)
		store.with(func() { store.failing = false })
		longest.Store(int64(short))
		time.Sleep(2 * short)
		assert.Assert(t, following.Healthy())

		store.with(func() { store.failing = true })
		longest.Store(int64(time.Minute))
		time.Sleep(10 * time.Minute)
		duty.Set(false)
		time.Sleep(2 * short)
		store.with(func() { store.failing = false })
		asked := len(store.questions())
		duty.Set(true)
		time.Sleep(short)
		assert.Assert(t, following.Healthy() && len(store.questions()) > asked)
	}, follower.WithLongestPause[uint64, uint64](func() time.Duration { return time.Duration(longest.Load()) }))
}
