package issuer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/issuer"
)

// TestPermitsInUseKeepToTheRoom guards against more permits in use than the upstream has room for,
// whatever the order of asks, returns, reports and rejections, and against places that stay occupied
// after their permits were returned or not reported any more.
func TestPermitsInUseKeepToTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		room := issuer.NewRoom(slots, rapid.Bool().Draw(t, "inUse"))
		room.SetTolerated(rapid.Float64Range(0, 20).Draw(t, "tolerated"))
		permits, now := issuer.New(start(), 1e6), start()
		permits.LimitPlaces(room, 1)
		var held []uint64
		number := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1 || len(held) == 0:
				number++
				before := permits.InUse()
				if permits.Ask(now, ask(number, 0, 0)).Verdict == issuer.Granted {
					assert.Assert(t, before < room.Size(now), "%d in use, room for %d", before, room.Size(now))
					held = append(held, number)
				}
			default:
				outcome := issuer.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				permits.Return(now, issuer.AskID{From: "entry", Number: held[0]}, outcome)
				held = held[1:]
			}
			permits.Reconcile(now, "entry", held, number+1)
			assert.Equal(t, permits.InUse(), len(held))
		}
		permits.Due(now.Add(time.Minute))
		assert.Equal(t, permits.InUse(), 0, "the node reports nothing any more")
	})
}

// TestRoomIsUsed guards against places that idle while requests wait: a queued ask gets its permit as
// soon as one is returned, and the room recovers after a rejection.
func TestRoomIsUsed(t *testing.T) {
	room := issuer.NewRoom(4, true)
	room.SetTolerated(6)
	permits, now := issuer.New(start(), 1e6), start().Add(time.Second)
	permits.LimitPlaces(room, 1)
	for number := uint64(1); number <= 4; number++ {
		now = now.Add(50 * time.Millisecond)
		assert.Equal(t, permits.Ask(now, ask(number, 0, 0)).Verdict, issuer.Granted)
	}
	now = now.Add(50 * time.Millisecond)
	assert.Equal(t, permits.Ask(now, ask(5, 0, time.Second)).Verdict, issuer.Queued)
	assert.Equal(t, len(permits.Due(now)), 0)
	permits.Return(now, issuer.AskID{From: "entry", Number: 1}, issuer.Rejected)
	assert.Equal(t, room.Size(now), 1, "it has become smaller by an unknown amount")
	for number := uint64(2); number <= 4; number++ {
		permits.Return(now, issuer.AskID{From: "entry", Number: number}, issuer.Served)
	}
	assert.Equal(t, len(permits.Due(now.Add(50*time.Millisecond))), 1)
	assert.Equal(t, room.Size(now), 3, "at most as many as were in flight at the rejection")
	assert.Equal(t, room.Size(now.Add(6*time.Second)), 4)
}
