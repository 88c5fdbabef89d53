package announcer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// rejectionLimitHold is how long a rejection limit stays in force after it was last announced,
	// although a later answer announces a higher one or none: upstreams of a service may differ,
	// and answers may overtake each other.
	rejectionLimitHold = time.Second
	// informTimeout is how long after its start a node waits to be informed by a peer.
	informTimeout = time.Second
	// maxServices bounds the services whose rejection limits are stored.
	maxServices = 256
	// maxRejectionLimitAge bounds the ages that a peer may state.
	maxRejectionLimitAge = 24 * time.Hour
)

// RejectionLimit is the limit of rejections for want of capacity that the upstreams of a service
// have announced. It holds for all of them, those included that have not answered yet.
type RejectionLimit struct {
	Service definer.PoolName
	// Limit is the number of rejections per second that each upstream tolerates; no limit if none
	// of them has announced one, or if they no longer do.
	Limit definer.RateLimit
	// At is the latest time at which an upstream announced it, and Since the time from which there
	// has been a limit.
	At    time.Time
	Since time.Time
	// Source is the peer that sent the last change; empty for an upstream.
	Source Source
}

// InForce reports whether there is a limit.
func (rejectionLimit RejectionLimit) InForce() bool {
	_, limited := rejectionLimit.Limit.PerSecond()
	return limited
}

// yieldsTo reports whether an announcement that was made between the two times replaces the limit.
func (rejectionLimit *RejectionLimit) yieldsTo(limit definer.RateLimit, sentAt, at time.Time) bool {
	if limit == rejectionLimit.Limit || limit.Below(rejectionLimit.Limit) {
		return at.After(rejectionLimit.At)
	}
	return sentAt.After(rejectionLimit.At) && at.Sub(rejectionLimit.At) > rejectionLimitHold
}

// WithRejectionLimits sets the function that is called with each rejection limit that differs from
// the one before. It must not block or call the Announcer. The default does nothing.
func WithRejectionLimits(changed func(limit RejectionLimit)) Option {
	return func(announcer *Announcer) { announcer.rejectionLimitChanged = changed }
}

// RecordRejectionLimit records the limit in the answer of an upstream of the service to a request
// that was sent at sentAt.
func (announcer *Announcer) RecordRejectionLimit(now time.Time, service definer.PoolName, sentAt time.Time, limit definer.RateLimit) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.updateRejectionLimit(RejectionLimit{Service: service, Limit: limit, At: now, Since: now}, sentAt)
}

// RejectionLimit returns the latest limit of a service, and whether this node has been informed of
// those that its peers know.
func (announcer *Announcer) RejectionLimit(now time.Time, service definer.PoolName) (limit RejectionLimit, informed bool) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	limit = RejectionLimit{Service: service}
	if known, ok := announcer.rejectionLimits[service]; ok {
		limit = *known
	}
	return limit, announcer.isInformed(now)
}

// isInformed reports whether this node knows the limits that nodes know. The mutex is held.
func (announcer *Announcer) isInformed(now time.Time) bool {
	if announcer.usedSince.IsZero() {
		announcer.usedSince = now
	}
	announcer.informed = announcer.informed || now.Sub(announcer.usedSince) > informTimeout
	return announcer.informed
}

// RejectionLimits returns all limits in their wire form, those included that ended, and whether this
// node has been informed by a peer.
func (announcer *Announcer) RejectionLimits(now time.Time) (limits []messenger.RejectionLimit, informed bool) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	for _, known := range announcer.rejectionLimits {
		limits = append(limits, known.Encode(now))
	}
	return limits, announcer.isInformed(now)
}

// ListRejectionLimits returns the limits in force, sorted by service.
func (announcer *Announcer) ListRejectionLimits() []RejectionLimit {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	var list []RejectionLimit
	for _, known := range announcer.rejectionLimits {
		if known.InForce() {
			list = append(list, *known)
		}
	}
	slices.SortFunc(list, func(left, right RejectionLimit) int { return cmp.Compare(left.Service, right.Service) })
	return list
}

// LearnRejectionLimits merges the limits in a peer's message. informed is set if the peer was
// informed of all limits that nodes know.
func (announcer *Announcer) LearnRejectionLimits(now time.Time, from definer.VM, reported []messenger.RejectionLimit, informed bool) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.informed = announcer.informed || informed
	for _, message := range reported[:min(len(reported), maxServices)] {
		if limit, ok := decodeRejectionLimit(now, from, message); ok {
			announcer.updateRejectionLimit(limit, limit.At)
		}
	}
}

// updateRejectionLimit merges a limit, announced between the two times, where it is newer. The mutex
// is held.
func (announcer *Announcer) updateRejectionLimit(limit RejectionLimit, sentAt time.Time) {
	known, ok := announcer.rejectionLimits[limit.Service]
	switch {
	case !ok && (!limit.InForce() || len(announcer.rejectionLimits) >= maxServices):
		return
	case ok && !known.yieldsTo(limit.Limit, sentAt, limit.At):
		return
	case ok && known.Limit == limit.Limit:
		known.At = limit.At
		return
	case ok && known.InForce() && limit.InForce():
		limit.Since = known.Since
	}
	announcer.rejectionLimits[limit.Service] = &limit
	announcer.recountRejectionLimits()
	announcer.rejectionLimitChanged(limit)
}

// recountRejectionLimits updates the count of services with a limit. The mutex is held.
func (announcer *Announcer) recountRejectionLimits() {
	count := 0
	for _, limit := range announcer.rejectionLimits {
		if limit.InForce() {
			count++
		}
	}
	if count != announcer.counts.RejectionLimited {
		announcer.counts.RejectionLimited = count
		announcer.count(announcer.counts)
	}
}

// Encode returns the wire form of a limit.
func (rejectionLimit *RejectionLimit) Encode(now time.Time) messenger.RejectionLimit {
	perSecond, limited := rejectionLimit.Limit.PerSecond()
	return messenger.RejectionLimit{
		Service: rejectionLimit.Service, PerSecond: perSecond, Limited: limited,
		Age: max(now.Sub(rejectionLimit.At), 0), Since: max(now.Sub(rejectionLimit.Since), 0),
	}
}

// decodeRejectionLimit returns the limit in a peer's message. ok is false for one that no upstream
// can have announced, since the peer may be of another version or faulty.
func decodeRejectionLimit(now time.Time, from definer.VM, message messenger.RejectionLimit) (limit RejectionLimit, ok bool) {
	possible := message.Service != "" && len(message.Service) <= maxNameBytes &&
		message.Age >= 0 && message.Age <= maxRejectionLimitAge && message.Since >= 0 && message.Since <= maxRejectionLimitAge &&
		message.PerSecond >= 0 && message.PerSecond <= math.MaxFloat64
	if !possible {
		return RejectionLimit{}, false
	}
	limit = RejectionLimit{Service: message.Service, At: now.Add(-message.Age), Since: now.Add(-message.Since), Source: Source(from)}
	if message.Limited {
		limit.Limit = definer.LimitTo(message.PerSecond)
	}
	return limit, true
}
