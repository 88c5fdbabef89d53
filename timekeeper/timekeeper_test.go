package timekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/timekeeper"
)

// vm is a VM whose clock may jump.
type vm struct {
	// passed is the steady time, jump how far the time of day is from the true one.
	passed time.Duration
	jump   time.Duration
}

// truth returns the true time.
func (vm *vm) truth() time.Time { return time.Unix(1_800_000_000, 0).Add(vm.passed) }

func (vm *vm) clock() (shown time.Time, steady time.Duration) {
	return vm.truth().Add(vm.jump), vm.passed
}

func (vm *vm) pass(span time.Duration) { vm.passed += span }

// near holds that a time is the true one, but for so much.
func near(t *testing.T, got, want time.Time, within time.Duration) {
	t.Helper()
	assert.Assert(t, got.Sub(want).Abs() <= within, "%v off", got.Sub(want))
}

// TestMedianOfClocks holds that a node whose clock is wrong goes by those of its peers, and
// one whose clock is right is not led astray by few that are wrong.
func TestMedianOfClocks(t *testing.T) {
	for _, own := range []time.Duration{-2 * time.Second, 0, 2 * time.Second} {
		t.Run(own.String(), func(t *testing.T) {
			machine := &vm{jump: own}
			keeper := timekeeper.New(machine.clock)
			for peer, ahead := range []time.Duration{0, time.Millisecond, -time.Millisecond, 2 * time.Second, 0} {
				keeper.Hear(definer.VM(fmt.Sprint(peer)), machine.truth().Add(ahead))
			}
			near(t, keeper.Now(), machine.truth(), 2*time.Millisecond)
			near(t, keeper.Own(), machine.truth().Add(own), 0)
		})
	}
}

// TestLateReadingsCountLittle holds that readings which were on their way for long do not
// set a node back while better ones are fresh.
func TestLateReadingsCountLittle(t *testing.T) {
	machine := &vm{}
	keeper := timekeeper.New(machine.clock)
	keeper.Follow(machine.truth())
	near(t, keeper.Now(), machine.truth(), 0)
	machine.pass(time.Second)
	keeper.Follow(machine.truth().Add(-800 * time.Millisecond))
	near(t, keeper.Now(), machine.truth(), 0)
	// Once nothing better has come for long, what is told counts.
	machine.pass(6 * time.Second)
	keeper.Follow(machine.truth().Add(-50 * time.Millisecond))
	near(t, keeper.Now(), machine.truth().Add(-50*time.Millisecond), 0)
	machine.pass(6 * time.Second)
	near(t, keeper.Now(), machine.truth(), 0)
}

// TestSmallAdjustmentsAreFollowed holds that a clock which is set right little by little is
// followed.
func TestSmallAdjustmentsAreFollowed(t *testing.T) {
	machine := &vm{}
	keeper := timekeeper.New(machine.clock)
	for range 100 {
		machine.pass(time.Second)
		machine.jump += 50 * time.Millisecond
		near(t, keeper.Own(), machine.truth().Add(machine.jump), time.Millisecond)
	}
}

// TestJumpsAreNotFollowed holds that a clock which jumps, either way, and back, changes
// nothing, and that one which stays elsewhere is followed in the end.
func TestJumpsAreNotFollowed(t *testing.T) {
	for _, jump := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		machine := &vm{}
		keeper := timekeeper.New(machine.clock)
		machine.pass(time.Minute)
		machine.jump = jump
		for range 30 {
			machine.pass(time.Second)
			near(t, keeper.Now(), machine.truth(), time.Millisecond)
		}
		machine.jump = 0
		machine.pass(time.Second)
		near(t, keeper.Now(), machine.truth(), time.Millisecond)
		machine.jump = jump
		for range 12 {
			machine.pass(time.Minute)
			keeper.Now()
		}
		near(t, keeper.Now(), machine.truth().Add(jump), time.Millisecond)
	}
}
