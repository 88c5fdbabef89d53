package exchanger

import "time"

// stage is a step of the exchange within each interval. A report passes through at most
// three nodes, and it is worth more the fresher it is; all nodes therefore run the stages
// one after the other, by the time of day. Where clocks differ or jump, reports get older
// by up to an interval at each stage; there is no other effect.
type stage int

const (
	// memberStage is when members report to the aggregator of their group.
	memberStage stage = iota
	// groupStage is when aggregators report to each other.
	groupStage
	// fleetStage is when aggregators report to their members.
	fleetStage
	// stageCount is the number of stages.
	stageCount
)

// stageInterval is the time between two stages: the latency between two data centres is
// 0.5 to 1.5 ms, and clocks of VMs differ by some milliseconds.
const stageInterval = 8 * time.Millisecond

// untilStage returns the time until the stage is next due; it is never zero.
func untilStage(now time.Time, stage stage) time.Duration {
	into := time.Duration(now.UnixNano()) % interval
	wait := time.Duration(stage)*stageInterval - into
	if wait <= 0 {
		wait += interval
	}
	return wait
}
