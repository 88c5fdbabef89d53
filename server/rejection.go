package server

import (
	"net/http"

	"limpetcleat/definer"
)

// RejectionHandler is called for each request that is rejected with a status from 400 to 499 before
// it is submitted to the core.
type RejectionHandler func(request definer.RequestID, status int)

// WithRejectionHandler sets the handler for requests that are rejected before they reach the core.
func WithRejectionHandler(handler RejectionHandler) Option {
	return func(server *Server) { server.onRejection = handler }
}

// statusRecorder is an http.ResponseWriter that records the status of the response.
type statusRecorder struct {
	http.ResponseWriter
	// status is 0 until the header is written.
	status int
	// submitted reports whether the request was submitted to the core.
	submitted bool
}

// WriteHeader writes and records the status.
func (statusRecorder *statusRecorder) WriteHeader(status int) {
	statusRecorder.status = status
	statusRecorder.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (statusRecorder *statusRecorder) Unwrap() http.ResponseWriter {
	return statusRecorder.ResponseWriter
}

// serveAndReport serves a request and calls onRejection if the request was rejected before it
// reached the core.
func (server *Server) serveAndReport(writer http.ResponseWriter, request *http.Request, next http.Handler) {
	statusRecorder := &statusRecorder{ResponseWriter: writer}
	next.ServeHTTP(statusRecorder, request)
	clientError := statusRecorder.status >= http.StatusBadRequest && statusRecorder.status < http.StatusInternalServerError
	if clientError && !statusRecorder.submitted {
		server.onRejection(definer.RequestID(writer.Header().Get(headerRequestID)), statusRecorder.status)
	}
}

// markSubmitted records that the request is submitted to the core.
func markSubmitted(writer http.ResponseWriter) {
	if statusRecorder, ok := writer.(*statusRecorder); ok {
		statusRecorder.submitted = true
	}
}
