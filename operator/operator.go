// Package operator serves the operators' interface of a node.
package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/recorder"
	"limpetcleat/server"
)

// Node is what operators can see and do of a node.
type Node interface {
	// Status returns what the node knows of itself now.
	Status() decider.Status
	// Drain asks for a planned stop.
	Drain()
	// Snapshot returns what it has counted.
	Snapshot() recorder.Snapshot
	// Configuration returns the one in force, or nil before the first.
	Configuration() *definer.Configuration
	// HeldOffs returns the requests under which upstreams ended.
	HeldOffs() HeldOffs
	// Metrics returns the handler of its metrics.
	Metrics() http.Handler
}

// Operator serves one node's operators.
type Operator struct {
	node Node
	// token is never compared but in constant time.
	token string
	log   Log
	// rejections counts the calls without a valid token since the last line
	// about them.
	rejections atomic.Uint64
	// rejected bounds the lines about calls without a valid token.
	rejected rate.Sometimes
}

const (
	// rejectedEvery is the least time between two lines about rejected calls.
	rejectedEvery = time.Second
	// maxBody bounds the body of a call, which none needs.
	maxBody = 1 << 10
)

// Log takes in one numbered event with names and values in turn.
type Log func(number int, pairs ...any)

// Option changes one setting of an Operator.
type Option func(*Operator)

// WithLog sets where calls that matter are logged.
func WithLog(log Log) Option { return func(operator *Operator) { operator.log = log } }

// New returns the operators' interface of a node, open to holders of the token.
// Without a token it is open to nobody.
func New(node Node, token string, options ...Option) *Operator {
	operator := &Operator{
		node:     node,
		token:    token,
		log:      func(int, ...any) {},
		rejected: rate.Sometimes{Interval: rejectedEvery},
	}
	for _, option := range options {
		option(operator)
	}
	return operator
}

// Handler returns the operators' interface.
func (operator *Operator) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writer.WriteHeader(http.StatusOK)
	})
	router.Handler(http.MethodGet, "/metrics", operator.guarded(operator.node.Metrics()))
	router.Handler(http.MethodGet, "/status", operator.guarded(http.HandlerFunc(operator.status)))
	router.Handler(http.MethodGet, "/snapshot", operator.guarded(http.HandlerFunc(operator.snapshot)))
	router.Handler(http.MethodGet, "/configuration", operator.guarded(http.HandlerFunc(operator.configuration)))
	quarantine := operator.guarded(NewEntry(operator.node.HeldOffs(), operator.log).Handler())
	router.Handler(http.MethodGet, heldOffPath, quarantine)
	router.Handler(http.MethodDelete, heldOffPath+"/:identity", quarantine)
	router.Handler(http.MethodPost, "/drain", operator.guarded(http.HandlerFunc(operator.drain)))
	return router
}

// guarded lets only holders of the token pass.
func (operator *Operator) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		given, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		request.Body = http.MaxBytesReader(writer, request.Body, maxBody)
		if !ok || operator.token == "" || !server.SameToken(given, operator.token) {
			operator.reject(request)
			http.Error(writer, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// reject logs a call without a valid token.
func (operator *Operator) reject(request *http.Request) {
	operator.rejections.Add(1)
	operator.rejected.Do(func() {
		operator.log(logger.EventOperatorRejected, "address", request.RemoteAddr, "path", request.URL.Path, "count", operator.rejections.Swap(0))
	})
}

func (operator *Operator) status(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, operator.node.Status())
}

func (operator *Operator) snapshot(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, operator.node.Snapshot())
}

// InForce is the configuration that a node applies.
type InForce struct {
	// Version is 0 before the first configuration.
	Version  uint64           `json:"version"`
	Document definer.Document `json:"document"`
}

func (operator *Operator) configuration(writer http.ResponseWriter, _ *http.Request) {
	var inForce InForce
	if configuration := operator.node.Configuration(); configuration != nil {
		inForce = InForce{Version: configuration.Version(), Document: configuration.Document()}
	}
	answer(writer, inForce)
}

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func (operator *Operator) drain(writer http.ResponseWriter, request *http.Request) {
	operator.log(logger.EventDrainAsked, "by", "operator", "address", request.RemoteAddr)
	operator.node.Drain()
	writer.WriteHeader(http.StatusAccepted)
}
