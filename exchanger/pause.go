package exchanger

import (
	"time"

	"limpetcleat/definer"
)

// pauseLimit is the time between two compositions of reports from which on this process counts as paused.
const pauseLimit = 5 * interval

// excusePause takes the time for which this process was paused out of the silence of others: what they sent
// meanwhile has not been read. The mutex is held.
func (exchanger *Exchanger) excusePause(now time.Time) {
	paused := now.Sub(exchanger.composedAt)
	if exchanger.composedAt.IsZero() || paused < pauseLimit {
		return
	}
	exchanger.composedAt = now
	for _, contact := range exchanger.contacts {
		if !contact.awaitingSince.IsZero() {
			contact.awaitingSince = contact.awaitingSince.Add(paused)
		}
	}
	for _, reports := range []map[definer.VM]receivedReport{exchanger.memberReports, exchanger.groupReports} {
		for vm, received := range reports {
			received.pausedFor += paused
			reports[vm] = received
		}
	}
	exchanger.fleetReport.pausedFor += paused
}
