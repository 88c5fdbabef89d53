// Package operator implements the operators' interface of a node, an HTTP API with JSON answers,
// and a client that calls many nodes at once. Operators read the state of a node through it, start
// a planned stop, and allow requests again that are refused because upstreams crashed under them.
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

// Node is the node that an Operator serves.
type Node interface {
	// Status returns the current status of the node.
	Status() decider.Status
	// Drain starts a planned stop without waiting for its end.
	Drain()
	// Snapshot returns the recorded counts.
	Snapshot() recorder.Snapshot
	// Configuration returns the configuration in force, or nil before the first.
	Configuration() *definer.Configuration
	// Quarantine returns the requests under which upstreams crashed.
	Quarantine() Quarantine
	// Metrics returns the handler that serves the metrics.
	Metrics() http.Handler
}

// Operator serves the operators' interface of one node. Except for /healthz, all calls need the
// operators' token.
type Operator struct {
	node Node
	// token is compared in constant time only.
	token string
	log   Log
	// rejectionCount is the number of calls without a valid token since the last log line.
	rejectionCount atomic.Uint64
	// rejectionLog limits how often calls without a valid token are logged.
	rejectionLog rate.Sometimes
}

const (
	// rejectionLogInterval is the least time between two log lines about rejected calls.
	rejectionLogInterval = time.Second
	// maxBodyBytes bounds the body of a call. No call needs one.
	maxBodyBytes = 1 << 10
)

// Log logs the event with the given number. The pairs are alternating names and values.
type Log func(number int, pairs ...any)

// Option changes one setting of an Operator.
type Option func(*Operator)

// WithLog sets the log for rejected calls, lifted requests and planned stops. The default
// discards them.
func WithLog(log Log) Option { return func(operator *Operator) { operator.log = log } }

// New returns the operators' interface of a node, which accepts calls with the token. If the token
// is empty, it rejects all calls that need one.
func New(node Node, token string, options ...Option) *Operator {
	operator := &Operator{
		node:         node,
		token:        token,
		log:          func(int, ...any) {},
		rejectionLog: rate.Sometimes{Interval: rejectionLogInterval},
	}
	for _, option := range options {
		option(operator)
	}
	return operator
}

// Handler returns the HTTP handler of the interface.
func (operator *Operator) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writer.WriteHeader(http.StatusOK)
	})
	router.Handler(http.MethodGet, "/metrics", operator.requireToken(operator.node.Metrics()))
	router.Handler(http.MethodGet, "/status", operator.requireToken(http.HandlerFunc(operator.handleStatus)))
	router.Handler(http.MethodGet, "/snapshot", operator.requireToken(http.HandlerFunc(operator.handleSnapshot)))
	router.Handler(http.MethodGet, "/configuration", operator.requireToken(http.HandlerFunc(operator.handleConfiguration)))
	quarantine := operator.requireToken(NewEntry(operator.node.Quarantine(), operator.log).Handler())
	router.Handler(http.MethodGet, heldOffPath, quarantine)
	router.Handler(http.MethodDelete, heldOffPath+"/:identity", quarantine)
	router.Handler(http.MethodPost, "/drain", operator.requireToken(http.HandlerFunc(operator.handleDrain)))
	return router
}

// requireToken returns a handler that rejects requests without the token with 401 Unauthorized.
func (operator *Operator) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
		if !ok || operator.token == "" || !server.EqualTokens(token, operator.token) {
			operator.logRejection(request)
			http.Error(writer, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// logRejection counts a call without a valid token, and logs the count at most once per
// rejectionLogInterval.
func (operator *Operator) logRejection(request *http.Request) {
	operator.rejectionCount.Add(1)
	operator.rejectionLog.Do(func() {
		operator.log(logger.EventOperatorRejected, "address", request.RemoteAddr, "path", request.URL.Path, "count", operator.rejectionCount.Swap(0))
	})
}

func (operator *Operator) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, operator.node.Status())
}

func (operator *Operator) handleSnapshot(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, operator.node.Snapshot())
}

// ConfigurationInForce is the configuration in force at a node.
type ConfigurationInForce struct {
	// Version is 0 before the first configuration.
	Version  uint64           `json:"version"`
	Document definer.Document `json:"document"`
}

func (operator *Operator) handleConfiguration(writer http.ResponseWriter, _ *http.Request) {
	var inForce ConfigurationInForce
	if configuration := operator.node.Configuration(); configuration != nil {
		inForce = ConfigurationInForce{Version: configuration.Version(), Document: configuration.Document()}
	}
	writeJSON(writer, inForce)
}

// writeJSON writes the value as the JSON body of an answer.
func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func (operator *Operator) handleDrain(writer http.ResponseWriter, request *http.Request) {
	operator.log(logger.EventDrainRequested, "by", "operator", "address", request.RemoteAddr)
	operator.node.Drain()
	writer.WriteHeader(http.StatusAccepted)
}
