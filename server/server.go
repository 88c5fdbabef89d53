package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

const (
	defaultMaxBody     = 4 << 20
	defaultBodyTimeout = 30 * time.Second
)

// Core takes in events; its actions for a request come back through Calls.
type Core interface {
	Submit(event decider.Event)
}

// Runner carries out attempts.
type Runner interface {
	Run(ctx context.Context, start decider.StartAttempt, exchange dispatcher.Exchange, sink dispatcher.Sink, progress dispatcher.Progress) decider.AttemptEnded
}

// Ended is told of each caller's request that is over.
type Ended func(request definer.RequestID, status int, duration time.Duration)

// Server serves callers.
type Server struct {
	core   Core
	runner Runner
	calls  *Calls
	ended  Ended
	// configuration is nil before the first.
	configuration atomic.Pointer[definer.Configuration]
	// ready tells the balancer whether to send callers here.
	ready       atomic.Bool
	maxBody     int64
	bodyTimeout time.Duration
}

// Option changes one setting of a Server.
type Option func(*Server)

// WithBodyLimits bounds a request's body in bytes and in time.
func WithBodyLimits(size int64, timeout time.Duration) Option {
	return func(server *Server) { server.maxBody, server.bodyTimeout = size, timeout }
}

// WithEnded sets who is told of each request that is over.
func WithEnded(ended Ended) Option {
	return func(server *Server) { server.ended = ended }
}

// New returns a server that hands requests to the core and attempts to the
// runner.
func New(core Core, runner Runner, calls *Calls, options ...Option) *Server {
	server := &Server{
		core:        core,
		runner:      runner,
		calls:       calls,
		ended:       func(definer.RequestID, int, time.Duration) {},
		maxBody:     defaultMaxBody,
		bodyTimeout: defaultBodyTimeout,
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Apply sets the configuration whose keys and models the server uses.
func (server *Server) Apply(configuration *definer.Configuration) {
	server.configuration.Store(configuration)
}

// SetReady tells the balancer, through /readyz, whether to send callers here.
func (server *Server) SetReady(ready bool) { server.ready.Store(ready) }

// Handler returns the callers' interface.
func (server *Server) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", server.health)
	router.GET("/readyz", server.readiness)
	router.GET("/v1/models", server.authenticated(server.models))
	router.POST("/v1/chat/completions", server.authenticated(server.completion))
	router.POST("/v1/completions", server.authenticated(server.completion))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name/*path", server.authenticated(server.service))
	}
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	return router
}

func (server *Server) health(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writer.WriteHeader(http.StatusOK)
}

func (server *Server) readiness(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !server.ready.Load() || server.configuration.Load() == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
