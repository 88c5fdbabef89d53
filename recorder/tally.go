package recorder

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"limpetcleat/decider"
	"limpetcleat/definer"
)

const (
	metricsPrefix = "limpetcleat"
	// reportInterval is how far behind a scrape may be.
	reportInterval = time.Second
)

// The names of the metrics, which all begin with the prefix.
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

// The values of the label "result" of requestsMetric.
const (
	metResult  = "met"
	lateResult = "late"
)

// metrics passes counts on to tally. Labels are classes and pools, whose
// number the operators choose; never organisations, which are too many.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// scopes holds those made so far by their labels.
	scopes map[labels]tally.Scope
}

// labels are those of a request's metrics.
type labels struct {
	class definer.ClassName
	pool  definer.PoolName
}

func newMetrics(report func(error)) *metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: report})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	metrics := &metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler(), scopes: make(map[labels]tally.Scope)}
	metrics.explain(reporter, report)
	return metrics
}

// explain gives the counters their help texts.
func (metrics *metrics) explain(reporter prometheus.Reporter, report func(error)) {
	counters := []struct {
		name   string
		labels []string
		help   string
	}{
		{requestsMetric, []string{"class", "pool", "result"}, "Ended requests by result: met, late or the reason of the refusal."},
		{retriesMetric, []string{"class", "pool"}, "Attempts beyond the first."},
		{tokensMetric, []string{"class", "pool"}, "Tokens delivered to callers."},
		{wastedMetric, []string{"class", "pool"}, "Tokens computed and discarded."},
		{controlMetric, []string{"kind"}, "Messages to and from other nodes and calls of the platform."},
		{controlBytesMetric, []string{"kind"}, "Bytes of those messages and calls."},
	}
	for _, counter := range counters {
		if _, err := reporter.RegisterCounter(metricsPrefix+prometheus.DefaultSeparator+counter.name, counter.labels, counter.help); err != nil {
			report(err)
		}
	}
}

// of returns the scope for a class and a pool.
func (metrics *metrics) of(labels labels) tally.Scope {
	scope, ok := metrics.scopes[labels]
	if !ok {
		scope = metrics.scope.Tagged(map[string]string{"class": string(labels.class), "pool": string(labels.pool)})
		metrics.scopes[labels] = scope
	}
	return scope
}

func (metrics *metrics) record(record decider.Record) {
	scope := metrics.of(labels{class: record.Class, pool: record.Pool})
	scope.Tagged(map[string]string{"result": result(record)}).Counter(requestsMetric).Inc(1)
	scope.Counter(retriesMetric).Inc(int64(record.Retries))
	scope.Counter(tokensMetric).Inc(int64(record.Tokens))
	scope.Counter(wastedMetric).Inc(int64(record.Wasted))
	if !record.Complete {
		return
	}
	scope.Histogram(durationMetric, durationBuckets()).RecordDuration(record.Total)
	if record.FirstToken > 0 {
		scope.Histogram(firstTokenMetric, durationBuckets()).RecordDuration(record.FirstToken)
	}
	if record.BetweenTokens > 0 {
		scope.Histogram(betweenTokensMetric, durationBuckets()).RecordDuration(record.BetweenTokens)
	}
}

// result returns the label that tells how a request ended.
func result(record decider.Record) string {
	switch {
	case record.Met:
		return metResult
	case record.Complete:
		return lateResult
	default:
		return string(record.Reason)
	}
}

// durationBuckets returns the bounds of the buckets, from 5 ms to some 11
// minutes, each twice the one before.
func durationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 18)
}

func (metrics *metrics) control(kind ControlKind, count, bytes int) {
	scope := metrics.scope.Tagged(map[string]string{"kind": string(kind)})
	scope.Counter(controlMetric).Inc(int64(count))
	scope.Counter(controlBytesMetric).Inc(int64(bytes))
}
