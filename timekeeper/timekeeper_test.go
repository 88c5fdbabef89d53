package timekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/timekeeper"
)

// vm is a VM with a simulated clock that may jump.
type vm struct {
	// elapsed is the monotonic time, offset the difference between the VM's time of day
	// and the true time.
	elapsed time.Duration
	offset  time.Duration
}

// truth returns the true time.
func (vm *vm) truth() time.Time { return time.Unix(1_800_000_000, 0).Add(vm.elapsed) }

func (vm *vm) clock() (shown time.Time, monotonic time.Duration) {
	return vm.truth().Add(vm.offset), vm.elapsed
}

func (vm *vm) advance(span time.Duration) { vm.elapsed += span }

// checkNear checks that a time differs from the expected one by at most within.
func checkNear(t *testing.T, got, want time.Time, within time.Duration) {
	t.Helper()
	assert.Assert(t, got.Sub(want).Abs() <= within, "%v off", got.Sub(want))
}

// TestMedianOfClocks checks that a node with a wrong clock uses the time of its peers,
// and that a node with a right clock is not misled by a few peers with wrong ones.
func TestMedianOfClocks(t *testing.T) {
	for _, own := range []time.Duration{-2 * time.Second, 0, 2 * time.Second} {
		t.Run(own.String(), func(t *testing.T) {
			machine := &vm{offset: own}
			keeper := timekeeper.New(machine.clock)
			for peer, ahead := range []time.Duration{0, time.Millisecond, -time.Millisecond, 2 * time.Second, 0} {
				keeper.RecordPeerClock(definer.VM(fmt.Sprint(peer)), machine.truth().Add(ahead))
			}
			checkNear(t, keeper.Now(), machine.truth(), 2*time.Millisecond)
			checkNear(t, keeper.VMTime(), machine.truth().Add(own), 0)
		})
	}
}

// TestLateReadingsCountLittle checks that readings which were delayed for long on their
// way do not set a node back while readings with less delay are fresh.
func TestLateReadingsCountLittle(t *testing.T) {
	machine := &vm{}
	keeper := timekeeper.New(machine.clock)
	keeper.RecordAggregatorTime(machine.truth())
	checkNear(t, keeper.Now(), machine.truth(), 0)
	machine.advance(time.Second)
	keeper.RecordAggregatorTime(machine.truth().Add(-800 * time.Millisecond))
	checkNear(t, keeper.Now(), machine.truth(), 0)
	// A delayed reading is used once no better one has arrived for long.
	machine.advance(6 * time.Second)
	keeper.RecordAggregatorTime(machine.truth().Add(-50 * time.Millisecond))
	checkNear(t, keeper.Now(), machine.truth().Add(-50*time.Millisecond), 0)
	machine.advance(6 * time.Second)
	checkNear(t, keeper.Now(), machine.truth(), 0)
}

// TestSmallAdjustmentsAreFollowed checks that a clock which is corrected in small steps
// is followed.
func TestSmallAdjustmentsAreFollowed(t *testing.T) {
	machine := &vm{}
	keeper := timekeeper.New(machine.clock)
	for range 100 {
		machine.advance(time.Second)
		machine.offset += 50 * time.Millisecond
		checkNear(t, keeper.VMTime(), machine.truth().Add(machine.offset), time.Millisecond)
	}
}

// TestJumpsAreNotFollowed checks that a clock which jumps forward or back and returns
// changes nothing, and that a jump which lasts is followed in the end.
func TestJumpsAreNotFollowed(t *testing.T) {
	for _, jump := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		machine := &vm{}
		keeper := timekeeper.New(machine.clock)
		machine.advance(time.Minute)
		machine.offset = jump
		for range 30 {
			machine.advance(time.Second)
			checkNear(t, keeper.Now(), machine.truth(), time.Millisecond)
		}
		machine.offset = 0
		machine.advance(time.Second)
		checkNear(t, keeper.Now(), machine.truth(), time.Millisecond)
		machine.offset = jump
		for range 12 {
			machine.advance(time.Minute)
			keeper.Now()
		}
		checkNear(t, keeper.Now(), machine.truth().Add(jump), time.Millisecond)
	}
}
