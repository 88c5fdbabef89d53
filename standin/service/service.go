// Package service stands in for a plain service: it takes any method and path,
// records each run by attempt and by key, and has faults on order.
// docs/STANDINS.md has its protocol.
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
	ownPrefix      = "/_standin/"
	unbounded      = 0
)

// Service is one stand-in of a plain service.
type Service struct {
	host      *host.Host
	name      string
	latency   time.Duration
	latencies map[string]time.Duration
	capacity  int
	own       http.Handler

	// mu guards everything below; no other lock is taken under it.
	mu      sync.Mutex
	runs    *recorder
	faults  Faults
	running int
	// stalledUntil is when a stall ends; the zero time is no stall.
	stalledUntil time.Time
}

// Option changes one property of a Service.
type Option func(*Service)

// WithName sets the name that the answers carry.
func WithName(name string) Option {
	return func(service *Service) { service.name = name }
}

// WithLatency sets how long a run takes.
func WithLatency(latency time.Duration) Option {
	return func(service *Service) { service.latency = latency }
}

// WithPathLatency sets how long a run of the path takes.
func WithPathLatency(path string, latency time.Duration) Option {
	return func(service *Service) { service.latencies[path] = latency }
}

// WithCapacity sets how many runs go on at once; more are refused as not run.
// Zero is no bound.
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
		capacity:  unbounded,
		runs:      newRecorder(maxRecords),
	}
	for _, opt := range opts {
		opt(service)
	}
	service.own = service.routes()
	return service
}

// Handler returns the whole API.
func (service *Service) Handler() http.Handler {
	return http.HandlerFunc(service.serve)
}

// Serve answers on the listener until the context ends or Close is called.
func (service *Service) Serve(ctx context.Context, listener net.Listener) error {
	return service.host.Serve(ctx, listener, service.Handler())
}

// Close ends every call that waits and every Serve.
func (service *Service) Close() error {
	service.host.Close()
	return nil
}

// serve splits the stand-in's own paths from those of the service.
func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, ownPrefix) {
		service.own.ServeHTTP(writer, request)
		return
	}
	service.call(writer, request)
}

func (service *Service) latencyOf(path string) time.Duration {
	if latency, found := service.latencies[path]; found {
		return latency
	}
	return service.latency
}
