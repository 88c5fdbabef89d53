package forwarder

import (
	"time"

	"limpetcleat/dialer"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
)

// look tells what became of the upstream of an attempt that broke off by the cause. With one
// that has ended, the request may have caused that; one that was about to leave ends as
// planned.
func (attempt *attempt) look(now time.Time, cause error) dialer.Presence {
	forwarder, upstream := attempt.passage.forwarder, attempt.assignment.Upstream()
	if !forwarder.serves(upstream) {
		return dialer.Untold
	}
	finding := forwarder.examiner.Examine(now, upstream.Start(), upstream.Address, cause)
	if finding.Ended() && attempt.isFresh(now) {
		forwarder.quarantine.Fell(finding.At, upstream.Start(), attempt.passage.result.Identity)
	}
	return finding.Presence
}

// isFresh tells whether the upstream had only just begun with the request, as far as its
// answer shows.
func (attempt *attempt) isFresh(now time.Time) bool {
	return attempt.begunAt.IsZero() || now.Sub(attempt.begunAt) <= quarantiner.FreshRun
}

// serves tells whether this start of an upstream is listed for requests.
func (forwarder *Forwarder) serves(upstream *registrar.Upstream) bool {
	for _, listed := range forwarder.directory.Of(upstream.Service) {
		if listed.Start() == upstream.Start() {
			return true
		}
	}
	return false
}
