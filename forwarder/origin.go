package forwarder

import (
	"context"
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
	"limpetcleat/versioner"
)

// maxStreamAttempts is the number of a caller's attempts of which each may have lasted for its time limit
// when the caller takes the stream up.
const maxStreamAttempts = 2

// recordWait is how long after its arrival a request may wait for the first upstreams of a version to be allowed
// to begin streams. The store answers in milliseconds, and all nodes hear of it within 0.3 s.
const recordWait = 500 * time.Millisecond

// Origins keeps which software version began each stream.
type Origins interface {
	// MayBegin reports whether streams may begin at a version.
	MayBegin(service definer.PoolName, version definer.SoftwareVersion) bool
	// HistoryChanged returns a channel that is closed when streams may begin at other versions; nil if that
	// never changes.
	HistoryChanged() <-chan struct{}
	// Begun records where a stream began, which may be taken up for the lifetime and some time more.
	Begun(now time.Time, stream definer.StreamIdentity, origin versioner.Origin, lifetime time.Duration)
	// Ended records that the caller has received the stream to its end.
	Ended(stream definer.StreamIdentity)
	// Find returns where a stream that is taken up began, and whether that is known.
	Find(ctx context.Context, search versioner.Search) (versioner.Origin, bool)
}

// sameVersion implements Origins for services with one software version.
type sameVersion struct{}

// MayBegin reports true.
func (sameVersion) MayBegin(definer.PoolName, definer.SoftwareVersion) bool { return true }

// HistoryChanged returns nil.
func (sameVersion) HistoryChanged() <-chan struct{} { return nil }

// Begun does nothing.
func (sameVersion) Begun(time.Time, definer.StreamIdentity, versioner.Origin, time.Duration) {}

// Ended does nothing.
func (sameVersion) Ended(definer.StreamIdentity) {}

// Find returns that the stream began at the service, with upstreams of no version.
func (sameVersion) Find(_ context.Context, search versioner.Search) (versioner.Origin, bool) {
	return versioner.Origin{Service: search.Service}, true
}

// findOrigin finds where a stream that the caller takes up began, since it may go on only there. It
// returns the reason to refuse the request, or an empty one.
func (exchange *exchange) findOrigin() Reason {
	if !exchange.rule.Streamed {
		return ""
	}
	stream, call := &exchange.stream, &exchange.call
	if call.LastEvent == "" {
		stream.identity = versioner.Identify(exchange.result.Organisation, call.Attempt)
		return ""
	}
	stream.identity = versioner.Identify(exchange.result.Organisation, call.Resumes)
	origin, known := exchange.forwarder.origins.Find(exchange.request.Context(), versioner.Search{
		Stream: stream.identity, Service: exchange.service.Name, ListedAt: exchange.forwarder.listedAt(),
		MaxAge: maxStreamAttempts * exchange.rule.TimeLimit(defaultTimeLimit),
	})
	if !known {
		return VersionUnknown
	}
	stream.origin, stream.hasOrigin = origin, true
	return exchange.useService(origin.Service)
}

// useService makes the request go to the service, which must be a target of its rule. It returns the
// reason to refuse the request, or an empty one.
func (exchange *exchange) useService(name definer.PoolName) Reason {
	if name == exchange.service.Name {
		return ""
	}
	service, ok := exchange.forwarder.configuration.Table().Service(name)
	if !ok || !exchange.rule.HasTarget(name) {
		return VersionGone
	}
	exchange.service = service
	exchange.result.Service = name
	return ""
}

// recordOrigin records the upstream as the one at which the stream began, with its first event.
func (stream *stream) recordOrigin(exchange *exchange, upstream *registrar.Upstream) {
	if stream.recorded {
		return
	}
	stream.recorded = true
	stream.origin, stream.hasOrigin = versioner.Origin{Service: upstream.Service, Version: upstream.Version}, true
	exchange.forwarder.origins.Begun(time.Now(), stream.identity, stream.origin, exchange.timeLimit)
}

// compatible returns those of the upstreams at which the stream may go on or, if it has not begun, may begin.
func (exchange *exchange) compatible(upstreams []*registrar.Upstream) []*registrar.Upstream {
	if !exchange.rule.Streamed {
		return upstreams
	}
	stream, origins := &exchange.stream, exchange.forwarder.origins
	compatible := make([]*registrar.Upstream, 0, len(upstreams))
	allowed := make(map[definer.SoftwareVersion]bool)
	for _, upstream := range upstreams {
		permitted, judged := allowed[upstream.Version]
		if !judged {
			// A stream that cannot be taken up goes on at no other node.
			permitted = !exchange.rule.Resumable || origins.MayBegin(upstream.Service, upstream.Version)
			if stream.hasOrigin {
				permitted = upstream.Version == stream.origin.Version
			}
			allowed[upstream.Version] = permitted
		}
		if permitted {
			compatible = append(compatible, upstream)
		}
	}
	return compatible
}

// awaitVersion waits until streams may begin at other versions than before, for recordWait in all. It reports
// false if the time is up.
func (exchange *exchange) awaitVersion(ctx context.Context, changed <-chan struct{}) bool {
	left := recordWait - time.Since(exchange.arrivedAt)
	if !exchange.versionUnrecorded || left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
