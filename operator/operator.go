// Package operator serves the operators' interface of a node.
package operator

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/decider"
	"limpetcleat/definer"
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
	// Metrics returns the handler of its metrics.
	Metrics() http.Handler
}

// Operator serves one node's operators.
type Operator struct {
	node Node
	// token is never compared but in constant time.
	token string
}

// New returns the operators' interface of a node, open to holders of the token.
func New(node Node, token string) *Operator { return &Operator{node: node, token: token} }

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
	router.Handler(http.MethodPost, "/drain", operator.guarded(http.HandlerFunc(operator.drain)))
	return router
}

// guarded lets only holders of the token pass.
func (operator *Operator) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		given, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if !ok || operator.token == "" || !server.SameToken(given, operator.token) {
			http.Error(writer, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
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

func (operator *Operator) drain(writer http.ResponseWriter, _ *http.Request) {
	operator.node.Drain()
	writer.WriteHeader(http.StatusAccepted)
}
