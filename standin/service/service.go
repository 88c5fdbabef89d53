// Package service provides an HTTP server that stands in for a plain service. It
// accepts any method and path, records each run by attempt and by idempotency
// key, and injects faults on request; docs/STANDINS.md describes its protocol.
package service

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"limpetcleat/standin/internal/host"
)

const (
	defaultName    = "service"
	defaultLatency = 5 * time.Millisecond
	adminPrefix    = "/_standin/"
	unlimited      = 0
)

// Service is a stand-in for a plain service. Its methods are safe for concurrent
// use.
type Service struct {
	host         *host.Host
	name         string
	latency      time.Duration
	latencies    map[string]time.Duration
	capacity     int
	adminHandler http.Handler

	// mu guards the fields below; no other lock is acquired while it is held.
	mu         sync.Mutex
	runs       *runLog
	faults     Faults
	activeRuns int
	// stalledUntil is when the last stall ends; it is zero before the first stall.
	stalledUntil time.Time
}

// Option changes one property of a Service.
type Option func(*Service)

// WithName sets the name in the service's answers.
func WithName(name string) Option {
	return func(service *Service) { service.name = name }
}

// WithLatency sets the duration of a run. The default is 5 ms.
func WithLatency(latency time.Duration) Option {
	return func(service *Service) { service.latency = latency }
}

// WithPathLatency sets the duration of a run of the path; it overrides
// WithLatency.
func WithPathLatency(path string, latency time.Duration) Option {
	return func(service *Service) { service.latencies[path] = latency }
}

// WithCapacity sets the maximum number of concurrent runs; further calls are
// refused as not run. Zero means unlimited.
func WithCapacity(runs int) Option {
	return func(service *Service) { service.capacity = runs }
}

// New returns a Service.
func New(opts ...Option) *Service {
	service := &Service{
		host:      host.New(),
		name:      defaultName,
		latency:   defaultLatency,
		latencies: map[string]time.Duration{},
		capacity:  unlimited,
		runs:      newRunLog(maxRecordedRuns),
	}
	for _, opt := range opts {
		opt(service)
	}
	service.adminHandler = service.adminRoutes()
	return service
}

// Handler returns the handler of all paths: the service's and, under /_standin/,
// those that control the stand-in.
func (service *Service) Handler() http.Handler {
	return http.HandlerFunc(service.serve)
}

// Serve serves HTTP on the listener until the context ends or Close is called.
func (service *Service) Serve(ctx context.Context, listener net.Listener) error {
	return service.host.Serve(ctx, listener, service.Handler())
}

// Close ends every waiting call and every Serve. It always returns nil.
func (service *Service) Close() error {
	service.host.Close()
	return nil
}

// serve routes requests to the control paths of the stand-in or to the service.
func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, adminPrefix) {
		service.adminHandler.ServeHTTP(writer, request)
		return
	}
	service.handleCall(writer, request)
}

func (service *Service) pathLatency(path string) time.Duration {
	if latency, found := service.latencies[path]; found {
		return latency
	}
	return service.latency
}
