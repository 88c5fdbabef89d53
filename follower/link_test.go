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
	// linkRate is the rate of a slow link, 10 Mbit/s, in bytes a second; linkPiece is
	// the number of bytes sent at once.
	linkRate  = 1_250_000
	linkPiece = 16 << 10
	// objectSize is the size of a configuration.
	objectSize = 1 << 20
	// limit is the most that a watch reads, as for configurations.
	limit = objectSize + linkPiece
)

// linkStore is a store behind a slow link, with one object that gets a new version at
// each write. Its clock is that of the synctest bubble. It is the sink of the follower
// too.
type linkStore struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex   sync.Mutex
	version uint64
	changed chan struct{}
	// delay is the time before each answer; while silent is set no answer comes.
	delay  time.Duration
	silent bool
	// reading is how long the node takes to decode an answer.
	reading time.Duration
	// freeAt is when the link will have transmitted all that was sent so far.
	freeAt time.Time
	// open holds the open calls; most is their highest number, without cancelled calls;
	// calls counts all calls.
	open        map[context.Context]bool
	most, calls int
	// held is the newest version that the follower has handed to the sink.
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

// enter counts a call as open until the returned function is called.
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

// counts returns how many calls were made, and the highest number of open calls.
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
	return []uint64{version}, version, store.transmit(ctx, 1)
}

// Watch returns all versions after the revision, each transmitted whole.
func (store *linkStore) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]uint64, follower.Revisions, error) {
	defer store.enter(ctx)()
	store.await(ctx, revision, wait)
	if err := store.begin(ctx); err != nil {
		return nil, follower.Revisions{}, err
	}
	store.mutex.Lock()
	version := store.version
	store.mutex.Unlock()
	var versions []uint64
	for next := revision + 1; next <= version; next++ {
		versions = append(versions, next)
	}
	if len(versions)*objectSize > limit {
		return nil, follower.Revisions{}, follower.Fail("watch", follower.TooLarge, "%d versions", len(versions))
	}
	revisions := follower.Revisions{Current: version}
	if len(versions) > 0 {
		revisions.Changed, revisions.Newest, revisions.Complete = true, version, version
	}
	return versions, revisions, store.transmit(ctx, len(versions))
}

// await blocks until there is a later version, the wait is over, or the context ends.
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

// begin blocks until an answer begins; its error is of kind Lost.
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

// transmit blocks until the given number of objects has passed the link and is decoded;
// its error is of kind Lost.
func (store *linkStore) transmit(ctx context.Context, objects int) error {
	for range objects * objectSize / linkPiece {
		if err := timer.Sleep(ctx, time.Until(store.reserve())); err != nil {
			return follower.Fail("pass", follower.Lost, "%w", err)
		}
		follower.AnswerProgressOf(ctx).Arrived(linkPiece)
	}
	follower.AnswerProgressOf(ctx).Received()
	store.mutex.Lock()
	reading := store.reading
	store.mutex.Unlock()
	if err := timer.Sleep(ctx, reading); err != nil {
		return follower.Fail("pass", follower.Lost, "%w", err)
	}
	return nil
}

// reserve returns when the link will have transmitted the next piece.
func (store *linkStore) reserve() time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if now := time.Now(); store.freeAt.Before(now) {
		store.freeAt = now
	}
	store.freeAt = store.freeAt.Add(linkPiece * time.Second / linkRate)
	return store.freeAt
}

// Replace applies the versions of a list.
func (store *linkStore) Replace(versions []uint64, reading follower.Reading) {
	store.Apply(versions, reading)
}

// Apply records the newest version.
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

// withLinkStore runs a test with a follower of a linkStore, whose watches wait for the
// given time.
func withLinkStore(t *testing.T, wait time.Duration, test func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64])) {
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

// TestHurryLeavesAnAnswerThatComesIn checks that InterruptWatch does not make the follower
// request an answer again that is being received.
func TestHurryLeavesAnAnswerThatComesIn(t *testing.T) {
	withLinkStore(t, 10*time.Second, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		before, _ := store.counts()
		store.write()
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			following.InterruptWatch(time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0), "1 MB takes 0.84 s")
		calls, _ := store.counts()
		assert.Equal(t, calls, before+1, "the next watch is to be the only call")
	})
}

// TestSlowProcessorAsksOnce checks that an answer which is being decoded is not
// requested again, however long decoding takes.
func TestSlowProcessorAsksOnce(t *testing.T) {
	withLinkStore(t, 10*time.Second, func(t *testing.T, store *linkStore, _ *follower.Follower[uint64, uint64]) {
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
		assert.Equal(t, calls, before+1, "the next watch is to be the only call")
	})
}

// TestQuietStoreIsAskedAsOftenAsItsWatchesEnd checks that no watch counts as unanswered
// before its wait is over, however the previous answer came.
func TestQuietStoreIsAskedAsOftenAsItsWatchesEnd(t *testing.T) {
	withLinkStore(t, 10*time.Second, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
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

// TestSilentStore checks how many calls a store that answers nothing gets, and how soon
// a node detects that it answers again.
func TestSilentStore(t *testing.T) {
	withLinkStore(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		store.set(0, true)
		before, _ := store.counts()
		time.Sleep(time.Minute)
		assert.Assert(t, !following.Healthy())
		calls, most := store.counts()
		assert.Assert(t, most <= 4, "%d open calls", most)
		assert.Assert(t, calls-before <= 70, "%d calls in a minute", calls-before)
		store.write()
		store.set(0, false)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0))
		assert.Assert(t, following.Healthy())
	})
}

// TestSlowAnswersAreTakenHoweverSlow checks that an answer is used however slow it is,
// as long as it comes within the store's history.
func TestSlowAnswersAreTakenHoweverSlow(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 15 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withLinkStore(t, follower.DefaultWait, func(t *testing.T, store *linkStore, _ *follower.Follower[uint64, uint64]) {
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

// TestStormOfLargeChanges checks that a node behind a slow link does not fall further
// and further behind while changes come faster than it can receive them.
func TestStormOfLargeChanges(t *testing.T) {
	withLinkStore(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
		time.Sleep(5 * time.Second)
		for range 12 {
			store.write()
			time.Sleep(330 * time.Millisecond)
			following.InterruptWatch(time.Second)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, store.behind(), uint64(0))
	})
}

// TestCatchesUpAfterAnyTrouble applies delays, outages, changes and calls of InterruptWatch in
// random, overlapping order. Whatever came before, the newest version is in force 4 s
// after the store has recovered, and no more than 4 calls were ever open.
func TestCatchesUpAfterAnyTrouble(t *testing.T) {
	for seed := range uint64(60) {
		withLinkStore(t, follower.DefaultWait, func(t *testing.T, store *linkStore, following *follower.Follower[uint64, uint64]) {
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
					following.InterruptWatch(time.Second)
				}
				time.Sleep(time.Duration(random.Int64N(int64(1500 * time.Millisecond))))
			}
			store.set(0, false)
			time.Sleep(4 * time.Second)
			synctest.Wait()
			assert.Equal(t, store.behind(), uint64(0), "seed %d", seed)
			_, most := store.counts()
			assert.Assert(t, most <= 4, "seed %d: %d open calls", seed, most)
		})
	}
}
