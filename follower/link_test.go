package follower_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/follower"
	"limpetcleat/timer"
)

const (
	// linkRate is that of a thin link, 10 Mbit/s in bytes a second; linkPiece passes at
	// once.
	linkRate  = 1_250_000
	linkPiece = 16 << 10
	// objectSize is that of a configuration.
	objectSize = 1 << 20
	// limit is the most that a watch reads, as that of configurations has it.
	limit = objectSize + linkPiece
)

// linkStore is a store with one object that grows a version at each write, as it is met
// over a thin link. Its clock is that of the test's bubble.
type linkStore struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex   sync.Mutex
	version uint64
	changed chan struct{}
	// delay is that of each answer; silent ones never come.
	delay  time.Duration
	silent bool
	// reading is how long the node takes to read an answer.
	reading time.Duration
	// free is when what was sent so far will have passed the link.
	free time.Time
	// open holds the calls under way, most is their highest number, calls counts all.
	open        map[context.Context]bool
	most, calls int
	// held is the newest version that the follower handed on.
	held uint64
}

func newLinkStore() *linkStore {
	return &linkStore{version: 1, changed: make(chan struct{}), open: make(map[context.Context]bool)}
}

func (store *linkStore) write() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *linkStore) set(delay time.Duration, silent bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.delay, store.silent = delay, silent
}

// enter counts a call; the function that it returns ends it.
func (store *linkStore) enter(ctx context.Context) func() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	store.open[ctx] = true
	wanted := 0
	for call := range store.open {
		if call.Err() == nil {
			wanted++
		}
	}
	store.most = max(store.most, wanted)
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		delete(store.open, ctx)
	}
}

// counts returns how many calls were made, and how many were under way at most.
func (store *linkStore) counts() (calls, most int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls, store.most
}

// List returns the newest version.
func (store *linkStore) List(ctx context.Context) ([]uint64, uint64, error) {
	defer store.enter(ctx)()
	if err := store.begin(ctx); err != nil {
		return nil, 0, err
	}
	store.mutex.Lock()
	version := store.version
	store.mutex.Unlock()
	return []uint64{version}, version, store.pass(ctx, 1)
}

// Watch returns the versions after one, each whole.
func (store *linkStore) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]uint64, uint64, error) {
	defer store.enter(ctx)()
	store.await(ctx, revision, wait)
	if err := store.begin(ctx); err != nil {
		return nil, 0, err
	}
	store.mutex.Lock()
	version := store.version
	store.mutex.Unlock()
	var versions []uint64
	for next := revision + 1; next <= version; next++ {
		versions = append(versions, next)
	}
	if len(versions)*objectSize > limit {
		return nil, 0, follower.Fail("watch", follower.TooLarge, "%d versions", len(versions))
	}
	return versions, version, store.pass(ctx, len(versions))
}

// await returns when there is a later version or the wait is over.
func (store *linkStore) await(ctx context.Context, revision uint64, wait time.Duration) {
	over := time.After(wait)
	for {
		store.mutex.Lock()
		later, changed := store.version > revision, store.changed
		store.mutex.Unlock()
		if later {
			return
		}
		select {
		case <-changed:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// begin returns when an answer begins; the error is of kind Lost.
func (store *linkStore) begin(ctx context.Context) error {
	store.mutex.Lock()
	delay, silent := store.delay, store.silent
	store.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return follower.Fail("begin", follower.Lost, "%w", ctx.Err())
	}
	if err := timer.Sleep(ctx, delay); err != nil {
		return follower.Fail("begin", follower.Lost, "%w", err)
	}
	return nil
}

// pass returns when so many objects have passed the link; the error is of kind Lost.
func (store *linkStore) pass(ctx context.Context, objects int) error {
	for range objects * objectSize / linkPiece {
		if err := timer.Sleep(ctx, time.Until(store.reserve())); err != nil {
			return follower.Fail("pass", follower.Lost, "%w", err)
		}
		follower.ArrivalsOf(ctx).Arrived(linkPiece)
	}
	follower.ArrivalsOf(ctx).Received()
	store.mutex.Lock()
	reading := store.reading
	store.mutex.Unlock()
	if err := timer.Sleep(ctx, reading); err != nil {
		return follower.Fail("pass", follower.Lost, "%w", err)
	}
	return nil
}

// reserve returns when the next piece will have passed.
func (store *linkStore) reserve() time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if now := time.Now(); store.free.Before(now) {
		store.free = now
	}
	store.free = store.free.Add(linkPiece * time.Second / linkRate)
	return store.free
}

// Replace takes in a list.
func (store *linkStore) Replace(versions []uint64, reading follower.Reading) {
	store.Apply(versions, reading)
}

// Apply takes in versions.
func (store *linkStore) Apply(versions []uint64, _ follower.Reading) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, version := range versions {
		store.held = max(store.held, version)
	}
}

// behind returns how many versions the follower lacks.
func (store *linkStore) behind() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.version - store.held
}

// over runs a test against a follower of a store, whose watches wait so long.
func over(t *testing.T, wait time.Duration, test func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64])) {
	synctest.Test(t, func(t *testing.T) {
		store := newLinkStore()
		following := follower.New[uint64, uint64](store, store, follower.WithWait[uint64, uint64](func() time.Duration { return wait }))
		ctx, cancel := context.WithCancel(t.Context())
		go following.Run(ctx)
		test(t, store, following)
		cancel()
		<-following.Done()
	})
}

// TestHurryLeavesAnAnswerThatComesIn holds that what is being received is not asked for
// again when others tell of it.
func TestHurryLeavesAnAnswerThatComesIn(t *testing.T) {
	over(t, 10*time.Second, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		before, _ := store.counts()
		store.write()
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			following.Hurry()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0), "1 MB takes 0.84 s")
		calls, _ := store.counts()
		assert.Equal(t, calls, before+1, "the next watch alone was asked")
	})
}

// TestSlowProcessorAsksOnce holds that an answer which is being read is not asked for
// again, however long that takes.
func TestSlowProcessorAsksOnce(t *testing.T) {
	over(t, 10*time.Second, func(t *testing.T, store *linkStore, _ *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		store.mutex.Lock()
		store.reading = 3 * time.Second
		store.mutex.Unlock()
		before, _ := store.counts()
		store.write()
		time.Sleep(3900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0))
		calls, _ := store.counts()
		assert.Equal(t, calls, before+1, "the next watch alone was asked")
	})
}

// TestQuietStoreIsAskedAsOftenAsItsWatchesEnd holds that no watch is taken for unanswered
// before its wait is over, however the answer before it came.
func TestQuietStoreIsAskedAsOftenAsItsWatchesEnd(t *testing.T) {
	over(t, 10*time.Second, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		for range 3 {
			store.write()
			time.Sleep(25 * time.Second)
			assert.Assert(t, following.Healthy())
		}
		calls, _ := store.counts()
		assert.Assert(t, calls <= 11, "%d calls in 75 s with 3 changes", calls)
		_, most := store.counts()
		assert.Equal(t, most, 1)
	})
}

// TestSilentStore holds how many calls a store that answers nothing gets, and how soon a
// node finds out that it answers again.
func TestSilentStore(t *testing.T) {
	over(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		store.set(0, true)
		before, _ := store.counts()
		time.Sleep(time.Minute)
		assert.Assert(t, !following.Healthy())
		calls, most := store.counts()
		assert.Assert(t, most <= 4, "%d calls under way", most)
		assert.Assert(t, calls-before <= 70, "%d calls in a minute", calls-before)
		store.write()
		store.set(0, false)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0))
		assert.Assert(t, following.Healthy())
	})
}

// TestSlowAnswersAreTakenHoweverSlow holds that no time is too long for an answer of a
// store that answers at all, within its history.
func TestSlowAnswersAreTakenHoweverSlow(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 15 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			over(t, follower.DefaultWait, func(t *testing.T, store *linkStore, _ *follower.Follower[uint64, uint64]) {
				time.Sleep(5 * time.Second)
				store.set(delay, false)
				time.Sleep(10 * time.Second)
				store.write()
				time.Sleep(2*delay + 4*time.Second)
				synctest.Wait()
				assert.Equal(t, store.behind(), uint64(0))
			})
		})
	}
}

// TestStormOfLargeChanges holds that a node on a thin link is not ever further behind
// while changes come faster than it receives them.
func TestStormOfLargeChanges(t *testing.T) {
	over(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		for range 12 {
			store.write()
			time.Sleep(330 * time.Millisecond)
			following.Hurry()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0))
	})
}

// TestCatchesUpAfterAnyTrouble plays troubles in random order, overlapping changes and
// words of peers: 4 s after the store is well the newest version is in force, whatever
// came before, and never were more than 4 calls under way.
func TestCatchesUpAfterAnyTrouble(t *testing.T) {
	for seed := range uint64(60) {
		over(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 30 {
				switch random.IntN(5) {
				case 0:
					store.set(time.Duration(random.Int64N(int64(4*time.Second))), false)
				case 1:
					store.set(0, true)
				case 2:
					store.set(0, false)
				case 3:
					store.write()
				case 4:
					following.Hurry()
				}
				time.Sleep(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
			}
			store.set(0, false)
			time.Sleep(4 * time.Second)
			synctest.Wait()
			assert.Equal(t, store.behind(), uint64(0), "seed %d", seed)
			_, most := store.counts()
			assert.Assert(t, most <= 4, "seed %d: %d calls under way", seed, most)
		})
	}
}
