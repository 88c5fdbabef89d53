package recorder

import (
	"github.com/uber-go/tally/v4"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/meter"
)

// Names of the metrics. The exported names have the prefix of package meter.
const (
	requestsMetric      = "requests_total"
	retriesMetric       = "retries_total"
	tokensMetric        = "tokens_total"
	wastedMetric        = "wasted_tokens_total"
	firstTokenMetric    = "first_token_seconds"
	betweenTokensMetric = "between_tokens_seconds"
	durationMetric      = "duration_seconds"
	controlMetric       = "control_total"
	controlBytesMetric  = "control_bytes_total"
)

// Values of the label "result" of requestsMetric for complete requests.
const (
	metResult  = "met"
	lateResult = "late"
)

// metrics records counts as tally metrics. Requests are labelled by class and pool, whose
// number the operators choose, and never by organisation, since there are too many of
// them.
type metrics struct {
	scope *meter.Scope
	// scopes caches the tally scope of each combination of labels.
	scopes map[labels]tally.Scope
}

// labels holds the labels that all metrics of a request share.
type labels struct {
	class definer.ClassName
	pool  definer.PoolName
}

func newMetrics(report func(error)) *metrics {
	return &metrics{
		scope: meter.NewScope(report,
			meter.Counter{Name: requestsMetric, Labels: []string{"class", "pool", "result"}, Help: "Ended requests by result: met, late or the reason of the refusal."},
			meter.Counter{Name: retriesMetric, Labels: []string{"class", "pool"}, Help: "Attempts beyond the first."},
			meter.Counter{Name: tokensMetric, Labels: []string{"class", "pool"}, Help: "Tokens delivered to callers."},
			meter.Counter{Name: wastedMetric, Labels: []string{"class", "pool"}, Help: "Tokens computed and discarded."},
			meter.Counter{Name: controlMetric, Labels: []string{"kind"}, Help: "Messages to and from other nodes and calls of the platform."},
			meter.Counter{Name: controlBytesMetric, Labels: []string{"kind"}, Help: "Bytes of those messages and calls."},
		),
		scopes: make(map[labels]tally.Scope),
	}
}

// scopeOf returns the tally scope of a class and a pool and creates it if needed.
func (metrics *metrics) scopeOf(labels labels) tally.Scope {
	scope, ok := metrics.scopes[labels]
	if !ok {
		scope = metrics.scope.Tagged(map[string]string{"class": string(labels.class), "pool": string(labels.pool)})
		metrics.scopes[labels] = scope
	}
	return scope
}

func (metrics *metrics) record(record decider.Record) {
	scope := metrics.scopeOf(labels{class: record.Class, pool: record.Pool})
	scope.Tagged(map[string]string{"result": resultLabel(record)}).Counter(requestsMetric).Inc(1)
	scope.Counter(retriesMetric).Inc(int64(record.Retries))
	scope.Counter(tokensMetric).Inc(int64(record.Tokens))
	scope.Counter(wastedMetric).Inc(int64(record.Wasted))
	if !record.Complete {
		return
	}
	scope.Histogram(durationMetric, meter.DurationBuckets()).RecordDuration(record.Total)
	if record.FirstToken > 0 {
		scope.Histogram(firstTokenMetric, meter.DurationBuckets()).RecordDuration(record.FirstToken)
	}
	if record.BetweenTokens > 0 {
		scope.Histogram(betweenTokensMetric, meter.DurationBuckets()).RecordDuration(record.BetweenTokens)
	}
}

// resultLabel returns the value of the label "result" of a request: met, late or the
// reason of the refusal.
func resultLabel(record decider.Record) string {
	switch {
	case record.MetTargets:
		return metResult
	case record.Complete:
		return lateResult
	default:
		return string(record.Reason)
	}
}

func (metrics *metrics) control(kind ControlKind, count, bytes int) {
	scope := metrics.scope.Tagged(map[string]string{"kind": string(kind)})
	scope.Counter(controlMetric).Inc(int64(count))
	scope.Counter(controlBytesMetric).Inc(int64(bytes))
}
