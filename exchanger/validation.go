package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

// rejectionLogInterval is the least time between two log lines about dropped loads.
const rejectionLogInterval = time.Second

// validated returns a peer's report without what is not possible in it, and logs how much that was.
// The mutex is held.
func (exchanger *Exchanger) validated(now time.Time, from definer.VM, report *messenger.LoadReport) *messenger.LoadReport {
	valid, rejected := report.Validated()
	exchanger.rejections += rejected
	if rejected > 0 && now.Sub(exchanger.rejectionsLoggedAt) >= rejectionLogInterval {
		exchanger.log(logger.EventLoadRejected, "node", from, "rejected", exchanger.rejections)
		exchanger.rejections, exchanger.rejectionsLoggedAt = 0, now
	}
	return valid
}
