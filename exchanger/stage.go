package exchanger

import "time"

// stage is a step of the exchange within each interval. A report crosses three
// nodes at most, and how fresh it is decides what it is worth; the nodes therefore
// take the steps one behind the other, by the time of day. Where that differs or
// jumps, reports are up to an interval older at each step, and nothing else.
type stage int

const (
	// memberStage is when members report to the aggregator of their group.
	memberStage stage = iota
	// groupStage is when those tell each other.
	groupStage
	// fleetStage is when they tell their members.
	fleetStage
	// stageCount is the number of stages.
	stageCount
)

// stageLag is the time between two stages: the way between two data centres takes
// 0.5 to 1.5 ms, and clocks of VMs differ by some milliseconds.
const stageLag = 8 * time.Millisecond

// untilStage returns how long it is until the stage comes next.
func untilStage(now time.Time, stage stage) time.Duration {
	into := time.Duration(now.UnixNano()) % interval
	wait := time.Duration(stage)*stageLag - into
	if wait <= 0 {
		wait += interval
	}
	return wait
}
