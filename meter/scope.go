// Package meter counts, by tally, and serves the counts to a scraper.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// Prefix is that of all metrics.
	Prefix = "limpetcleat"
	// reportInterval is how far behind a scrape may be.
	reportInterval = time.Second
)

// Counter is the name of a counter with its labels and what it tells.
type Counter struct {
	Name   string
	Labels []string
	Help   string
}

// Scope is the root of a process's metrics.
type Scope struct {
	tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewScope returns a root scope with help texts for the counters; report is told
// of metrics that cannot be registered.
func NewScope(report func(error), counters ...Counter) *Scope {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: report})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	for _, counter := range counters {
		if _, err := reporter.RegisterCounter(Prefix+prometheus.DefaultSeparator+counter.Name, counter.Labels, counter.Help); err != nil {
			report(err)
		}
	}
	return &Scope{Scope: root, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler serves the metrics as text.
func (scope *Scope) Handler() http.Handler { return scope.handler }

// Close ends the scope's reports.
func (scope *Scope) Close() error { return scope.closer.Close() }

// DurationBuckets returns the bounds of the buckets of latencies, from 5 ms to
// some 11 minutes, each twice the one before.
func DurationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 18)
}
