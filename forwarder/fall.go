package forwarder

import (
	"strings"
	"time"

	"limpetcleat/dialer"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
)

// examineUpstream finds out whether the upstream of an attempt still listens, after its
// connection broke by the cause. If the upstream has ended and had only just begun with the
// request, the request is reported to the quarantine as a possible cause. Upstreams that are
// no longer listed were leaving and end as planned, so they are not examined.
func (attempt *attempt) examineUpstream(now time.Time, cause error) dialer.Presence {
	forwarder, upstream := attempt.exchange.forwarder, attempt.assignment.Upstream()
	if !forwarder.isListed(upstream) {
		return dialer.Untold
	}
	finding := forwarder.examiner.Examine(now, upstream.Start(), upstream.Address, cause)
	if finding.Ended() && attempt.beganRecently(now) {
		forwarder.quarantine.RecordCrash(finding.At, upstream.Start(), attempt.exchange.result.Identity, attempt.exchange.parts...)
	}
	return finding.Presence
}

// beganRecently reports whether the upstream had only just begun with the request, as far as
// its answer shows.
func (attempt *attempt) beganRecently(now time.Time) bool {
	return attempt.firstEventAt.IsZero() || now.Sub(attempt.firstEventAt) <= quarantiner.SuspicionPeriod
}

// partsAtBreak returns the parts that other requests may share with this one if its connection broke, for
// the log: what several broken requests have in common may be the cause.
func (attempt *attempt) partsAtBreak(result sendResult) string {
	if result.presence == "" {
		return ""
	}
	var names []string
	for _, part := range attempt.exchange.call.shared() {
		names = append(names, part.ID)
	}
	return strings.Join(names, ",")
}

// isListed reports whether this incarnation of an upstream is listed as one that may be sent
// requests.
func (forwarder *Forwarder) isListed(upstream *registrar.Upstream) bool {
	for _, listed := range forwarder.directory.Upstreams(upstream.Service) {
		if listed.Start() == upstream.Start() {
			return true
		}
	}
	return false
}
