package forwarder

import (
	"errors"
	"syscall"
	"time"

	"limpetcleat/definer"
	"limpetcleat/dialer"
	"limpetcleat/messenger"
)

// immediateReset is the longest time after a send in which the reset of its connection is evidence
// that the upstream is lost. Later ones may come from an upstream that runs.
const immediateReset = 50 * time.Millisecond

// Evidence receives which upstreams this node found to be lost or alive.
type Evidence interface {
	// RecordFailure records that a start of an upstream was found to be lost.
	RecordFailure(now time.Time, start definer.UpstreamStart, kind messenger.EvidenceKind)
	// RecordSignOfLife records that something was received from a start of an upstream.
	RecordSignOfLife(at time.Time, start definer.UpstreamStart)
}

// noEvidence is the default Evidence; it records nothing.
type noEvidence struct{}

// RecordFailure does nothing.
func (noEvidence) RecordFailure(time.Time, definer.UpstreamStart, messenger.EvidenceKind) {}

// RecordSignOfLife does nothing.
func (noEvidence) RecordSignOfLife(time.Time, definer.UpstreamStart) {}

// WithEvidence sets what receives which upstreams were found to be lost or alive; the default
// discards it.
func WithEvidence(evidence Evidence) Option {
	return func(forwarder *Forwarder) { forwarder.evidence = evidence }
}

// recordFailure records that the upstream of the attempt was found to be lost.
func (attempt *attempt) recordFailure(at time.Time, kind messenger.EvidenceKind) {
	attempt.exchange.forwarder.evidence.RecordFailure(at, attempt.assignment.Upstream().Start(), kind)
}

// recordSignOfLife records that something was received from the upstream of the attempt.
func (attempt *attempt) recordSignOfLife() {
	attempt.exchange.forwarder.evidence.RecordSignOfLife(time.Now(), attempt.assignment.Upstream().Start())
}

// recordUnconnected records why no connection was made, if that is evidence of a loss. A timeout is
// none: a slow or partitioned upstream causes one as well.
func (attempt *attempt) recordUnconnected(cause error) {
	switch {
	case errors.Is(cause, syscall.ECONNREFUSED):
		attempt.recordFailure(time.Now(), messenger.EvidenceRefused)
	case errors.Is(cause, syscall.ECONNRESET):
		attempt.recordFailure(time.Now(), messenger.EvidenceReset)
	}
}

// recordBroken records that the connection broke by the cause, if that is evidence of a loss.
func (attempt *attempt) recordBroken(now time.Time, presence dialer.Presence, cause error) {
	switch {
	case presence == dialer.Refused:
		attempt.recordFailure(now, messenger.EvidenceRefused)
	case presence == dialer.Listening:
		return // The reset came from an upstream that runs.
	case errors.Is(cause, syscall.ECONNRESET) && now.Sub(attempt.sentAt) < immediateReset:
		attempt.recordFailure(now, messenger.EvidenceReset)
	}
}
