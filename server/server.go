package server

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/messenger"
	"limpetcleat/rationer"
)

const (
	defaultMaxBodyBytes = 4 << 20
	defaultBodyTimeout  = 30 * time.Second
)

// Core is the state machine that decides about requests. It receives events, and its actions for a
// request are delivered with Server.DeliverAction.
type Core interface {
	Submit(event decider.Event)
}

// Runner executes attempts. Run blocks until the attempt has ended and writes its answer to the
// sink.
type Runner interface {
	Run(ctx context.Context, start decider.StartAttempt, exchange dispatcher.Exchange, sink dispatcher.Sink, progress dispatcher.Progress) decider.AttemptEnded
}

// CrashHandler is called for each request whose handler panicked, with the recovered value. The
// stack contains no text of the request or its answer.
type CrashHandler func(request definer.RequestID, cause any, stack []byte)

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	core      Core
	runner    Runner
	mailboxes *mailboxes
	peers     Peers
	onCrash   CrashHandler
	// onRejection is called for requests that are rejected before they reach the core.
	onRejection RejectionHandler
	// configuration is nil until the first call of Apply.
	configuration atomic.Pointer[definer.Configuration]
	// ready determines the status of /readyz.
	ready          atomic.Bool
	maxBodyBytes   int64
	bodyTimeout    time.Duration
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxConnections int
	// memory bounds the bodies of all requests.
	memory *rationer.Rationer
	// forwardedHandler serves calls that peers forwarded.
	forwardedHandler http.Handler
	// lifetime is cancelled when the server is closed.
	lifetime context.Context
	cancel   context.CancelFunc
	// activeRequests counts the requests that are being served.
	activeRequests sync.WaitGroup
	// group runs the calls that peers forwarded.
	group conc.WaitGroup
	// mutex guards forwardedCalls and the cancellation of lifetime; no other lock is taken under it.
	mutex sync.Mutex
	// forwardedCalls holds the running calls that peers forwarded.
	forwardedCalls map[definer.RequestID]struct{}
}

// Option changes one setting of a Server.
type Option func(*Server)

// WithBodyLimits sets the maximum size of a request's body in bytes and the timeout for reading the
// body.
func WithBodyLimits(size int64, timeout time.Duration) Option {
	return func(server *Server) { server.maxBodyBytes, server.bodyTimeout = size, timeout }
}

// WithCrashHandler sets the handler for requests whose handling panicked.
func WithCrashHandler(handler CrashHandler) Option {
	return func(server *Server) { server.onCrash = handler }
}

// WithPeers sets the transport for calls that are forwarded to other processes.
func WithPeers(peers Peers) Option {
	return func(server *Server) { server.peers = peers }
}

// noPeers is the transport of a server without peers.
type noPeers struct{}

// Forward drops a message.
func (noPeers) Forward(string, messenger.Message) {}

// New returns a server that submits requests to the core and executes attempts with the runner. The
// caller must call Close.
func New(core Core, runner Runner, options ...Option) *Server {
	server := &Server{
		core:           core,
		runner:         runner,
		mailboxes:      newMailboxes(),
		peers:          noPeers{},
		onCrash:        func(definer.RequestID, any, []byte) {},
		onRejection:    func(definer.RequestID, int) {},
		maxBodyBytes:   defaultMaxBodyBytes,
		bodyTimeout:    defaultBodyTimeout,
		maxHeaderBytes: defaultMaxHeaderBytes,
		headerTimeout:  defaultReadHeaderTimeout,
		idleTimeout:    defaultIdleTimeout,
		maxConnections: defaultMaxConnections,
		memory:         rationer.New(defaultMemory),
		forwardedCalls: make(map[definer.RequestID]struct{}),
	}
	server.lifetime, server.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(server)
	}
	server.forwardedHandler = server.routes(requireForwarded)
	return server
}

// Close cancels forwarded calls and attempts that continue without their caller, refuses new
// requests, and waits until all requests have ended.
func (server *Server) Close() {
	server.mutex.Lock()
	server.cancel()
	server.mutex.Unlock()
	server.group.Wait()
	server.activeRequests.Wait()
}

// Apply sets the configuration that provides the keys and models.
func (server *Server) Apply(configuration *definer.Configuration) {
	server.configuration.Store(configuration)
}

// SetReady sets the status that /readyz reports to load balancers. The node is not reported as
// ready before the first call of Apply.
func (server *Server) SetReady(ready bool) { server.ready.Store(ready) }

// Handler returns the HTTP API for callers, with the health and readiness endpoints.
func (server *Server) Handler() http.Handler {
	router := server.routes(server.requireKey)
	router.GET("/healthz", server.serveHealth)
	router.GET("/readyz", server.serveReadiness)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headerRequestID, uuid.NewString())
		server.serveAndReport(writer, request, router)
	})
}

// routes returns a router for the API; identify determines the caller of each request.
func (server *Server) routes(identify func(callerHandle) httprouter.Handle) *httprouter.Router {
	router := httprouter.New()
	router.GET("/v1/models", identify(server.serveModels))
	router.POST("/v1/keys", identify(server.serveKey))
	router.POST("/v1/chat/completions", identify(server.serveCompletion))
	router.POST("/v1/completions", identify(server.serveCompletion))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name/*path", identify(server.serveService))
	}
	router.HandleOPTIONS = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	router.PanicHandler = server.handlePanic
	return router
}

// handlePanic responds to a request whose handler panicked before it was submitted to the core.
func (server *Server) handlePanic(writer http.ResponseWriter, _ *http.Request, cause any) {
	server.onCrash(definer.RequestID(writer.Header().Get(headerRequestID)), cause, debug.Stack())
	writeFailure(writer, panicFailure())
}

func (server *Server) serveHealth(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writer.WriteHeader(http.StatusOK)
}

func (server *Server) serveReadiness(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !server.ready.Load() || server.configuration.Load() == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
