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
)

const (
	defaultMaxBody     = 4 << 20
	defaultBodyTimeout = 30 * time.Second
)

// Core takes in events; its actions for a request come back
// through Server.Hand.
type Core interface {
	Submit(event decider.Event)
}

// Runner carries out attempts.
type Runner interface {
	Run(ctx context.Context, start decider.StartAttempt, exchange dispatcher.Exchange, sink dispatcher.Sink, progress dispatcher.Progress) decider.AttemptEnded
}

// Crashed is told of a request whose handling crashed. The stack holds no text
// of the request or its answer.
type Crashed func(request definer.RequestID, cause any, stack []byte)

// Server serves callers.
type Server struct {
	core    Core
	runner  Runner
	calls   *calls
	peers   Peers
	crashed Crashed
	// rejected is told of requests that never reached the core.
	rejected Rejected
	// configuration is nil before the first.
	configuration atomic.Pointer[definer.Configuration]
	// ready tells the balancer whether to send callers here.
	ready          atomic.Bool
	maxBody        int64
	bodyTimeout    time.Duration
	maxHeader      int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxConnections int
	// forwards serves calls that peers handed on.
	forwards http.Handler
	// life ends when the server is closed.
	life context.Context
	end  context.CancelFunc
	// passages counts the requests under way.
	passages sync.WaitGroup
	// group runs the calls that peers handed on.
	group conc.WaitGroup
	// mutex guards forwarded and the end of life; no other lock is taken under it.
	mutex sync.Mutex
	// forwarded holds the calls that peers handed on and that are under way.
	forwarded map[definer.RequestID]struct{}
}

// Option changes one setting of a Server.
type Option func(*Server)

// WithBodyLimits bounds a request's body in bytes and in time.
func WithBodyLimits(size int64, timeout time.Duration) Option {
	return func(server *Server) { server.maxBody, server.bodyTimeout = size, timeout }
}

// WithCrashed sets who is told of each request whose handling crashed.
func WithCrashed(crashed Crashed) Option {
	return func(server *Server) { server.crashed = crashed }
}

// WithPeers sets how calls are handed on to other processes.
func WithPeers(peers Peers) Option {
	return func(server *Server) { server.peers = peers }
}

// alone hands calls on to nobody.
type alone struct{}

// Forward drops a message.
func (alone) Forward(string, messenger.Message) {}

// New returns a server that hands requests to the core and attempts to the
// runner; Close ends it.
func New(core Core, runner Runner, options ...Option) *Server {
	server := &Server{
		core:           core,
		runner:         runner,
		calls:          newCalls(),
		peers:          alone{},
		crashed:        func(definer.RequestID, any, []byte) {},
		rejected:       func(definer.RequestID, int) {},
		maxBody:        defaultMaxBody,
		bodyTimeout:    defaultBodyTimeout,
		maxHeader:      defaultMaxHeader,
		headerTimeout:  defaultReadHeaderTimeout,
		idleTimeout:    defaultIdleTimeout,
		maxConnections: defaultMaxConnections,
		forwarded:      make(map[definer.RequestID]struct{}),
	}
	server.life, server.end = context.WithCancel(context.Background())
	for _, option := range options {
		option(server)
	}
	server.forwards = server.routes(believed)
	return server
}

// Close cuts what goes on without a caller, and waits for all requests.
func (server *Server) Close() {
	server.mutex.Lock()
	server.end()
	server.mutex.Unlock()
	server.group.Wait()
	server.passages.Wait()
}

// Apply sets the configuration whose keys and models the server uses.
func (server *Server) Apply(configuration *definer.Configuration) {
	server.configuration.Store(configuration)
}

// SetReady tells the balancer, through /readyz, whether to send callers here.
func (server *Server) SetReady(ready bool) { server.ready.Store(ready) }

// Handler returns the callers' interface.
func (server *Server) Handler() http.Handler {
	router := server.routes(server.authenticated)
	router.GET("/healthz", server.health)
	router.GET("/readyz", server.readiness)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headerRequest, uuid.NewString())
		server.observe(writer, request, router)
	})
}

// routes returns the paths of requests whose callers known finds out.
func (server *Server) routes(known func(handle) httprouter.Handle) *httprouter.Router {
	router := httprouter.New()
	router.GET("/v1/models", known(server.models))
	router.POST("/v1/keys", known(server.issue))
	router.POST("/v1/chat/completions", known(server.completion))
	router.POST("/v1/completions", known(server.completion))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:name/*path", known(server.service))
	}
	router.HandleOPTIONS = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	router.PanicHandler = server.rescue
	return router
}

// rescue answers a request whose handling crashed before the core knew of it.
func (server *Server) rescue(writer http.ResponseWriter, _ *http.Request, cause any) {
	server.crashed(definer.RequestID(writer.Header().Get(headerRequest)), cause, debug.Stack())
	writeFailure(writer, crash())
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
