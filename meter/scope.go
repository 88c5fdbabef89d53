// Package meter collects a node's metrics with tally and serves them in the Prometheus text format.
// It records requests, calls to the platform's store, upstream announcements and duties.
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
	// Prefix is the prefix of all metric names.
	Prefix = "limpetcleat"
	// reportInterval is the interval at which tally passes values on; a scrape may be that old.
	reportInterval = time.Second
)

// Counter describes a counter: its name without the prefix, its labels and its help text.
type Counter struct {
	Name   string
	Labels []string
	Help   string
}

// Scope is the root scope of a process's metrics.
type Scope struct {
	tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewScope returns a root scope in which the counters are registered with their help texts. It
// calls report for each metric that cannot be registered. The caller closes the scope.
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

// Handler returns a handler that serves the metrics as text.
func (scope *Scope) Handler() http.Handler { return scope.handler }

// Close stops the reporting of the scope.
func (scope *Scope) Close() error { return scope.closer.Close() }

// RatioBuckets returns the bucket bounds of histograms of actual over predicted times.
func RatioBuckets() tally.Buckets {
	return tally.ValueBuckets{0.25, 0.5, 0.7, 0.85, 1, 1.15, 1.3, 1.5, 2, 4, 8}
}

// DurationBuckets returns the bucket bounds of latency histograms: 18 bounds from 5 ms to about
// 11 minutes, each twice the previous one.
func DurationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 18)
}
