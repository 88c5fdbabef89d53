package limpetcleat

import (
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/logger"
)

// announced applies an upstream's announcement to the selection of upstreams. It is called with
// the announcer locked.
func (entry *Entry) announced(start definer.UpstreamStart, announcement announcer.Announcement, source announcer.Source) {
	_, limited := announcement.Limit.PerSecond()
	entry.selector.SetLimited(time.Now(), start, limited)
	if source != "" {
		entry.journal.event(logger.EventUpstreamAnnounced, "upstream", start.Upstream, "incarnation", start.Incarnation,
			"limit", announcement.Limit, "leaving", announcement.Leaving, "source", source)
	}
	if !announcement.Leaving {
		return
	}
	if change := entry.informer.Upstreams().MarkLeaving(time.Now(), start); change != nil {
		upstream := change.Upstream
		entry.journal.event(logger.EventUpstreamChanged, "upstream", upstream.ID, "entry", change.Listing(), "revision", upstream.Revision,
			"source", "itself", "service", upstream.Service, "address", upstream.Address, "dataCentre", upstream.DataCentre)
	}
}

// rejectionLimitChanged makes requests in flight at the upstreams of a service count once these have
// a limit of rejections. It is called with the announcer locked.
func (entry *Entry) rejectionLimitChanged(limit announcer.RejectionLimit) {
	now := time.Now()
	entry.journal.event(logger.EventRejectionLimitChanged, "service", limit.Service, "limit", limit.Limit, "source", limit.Source, "forMs", now.Sub(limit.Since).Milliseconds())
	if limit.InForce() {
		entry.background.Go(func() {
			entry.forwarder.HoldPlaces(limit.Service)
			entry.throttler.Renew(time.Now())
		})
	}
}
