package server

import (
	"net/http"

	"limpetcleat/definer"
)

// Rejected is told of each request that was turned away with an error of the
// caller's before the core knew of it.
type Rejected func(request definer.RequestID, status int)

// WithRejected sets who is told of requests that never reached the core.
func WithRejected(rejected Rejected) Option {
	return func(server *Server) { server.rejected = rejected }
}

// observed notes the status of an answer.
type observed struct {
	http.ResponseWriter
	// status is 0 until the answer has begun.
	status int
	// carried says that the core knows of the request.
	carried bool
}

// WriteHeader writes and notes the status.
func (observed *observed) WriteHeader(status int) {
	observed.status = status
	observed.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (observed *observed) Unwrap() http.ResponseWriter { return observed.ResponseWriter }

// observe serves a request and tells of it if it was turned away.
func (server *Server) observe(writer http.ResponseWriter, request *http.Request, next http.Handler) {
	observed := &observed{ResponseWriter: writer}
	next.ServeHTTP(observed, request)
	turnedAway := observed.status >= http.StatusBadRequest && observed.status < http.StatusInternalServerError
	if turnedAway && !observed.carried {
		server.rejected(definer.RequestID(writer.Header().Get(headerRequest)), observed.status)
	}
}

// markCarried notes that the core knows of the request.
func markCarried(writer http.ResponseWriter) {
	if observed, ok := writer.(*observed); ok {
		observed.carried = true
	}
}
