package server

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/dispatcher"
)

// serveService serves calls to the service that the path names.
func (server *Server) serveService(writer http.ResponseWriter, request *http.Request, params httprouter.Params, caller caller) {
	share := server.memory.NewShare()
	defer share.Release()
	body, failure, ok := server.readBody(writer, request, share)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived, failure, ok := newRequestArrived(request, caller, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived.Properties.Service = params.ByName("name")
	arrived.Properties.Path = params.ByName("path")
	target, ok := escapedServicePath(request.URL, arrived.Properties.Path)
	if !ok {
		notFound(writer, request)
		return
	}
	if request.URL.RawQuery != "" || request.URL.ForceQuery {
		target += "?" + request.URL.RawQuery
	}
	exchange := dispatcher.Exchange{Method: request.Method, Target: target, Header: request.Header, Body: body}
	server.serveRequest(request, writer, arrived, exchange)
}

// escapedServicePath returns the part of a target that follows the name of the service, with the escapes that the
// caller sent. The path is that part without escapes. It returns false if the name holds an escaped slash: the
// router has taken what follows it for the path.
func escapedServicePath(target *url.URL, path string) (string, bool) {
	segments := strings.SplitN(target.EscapedPath(), "/", 4)
	escaped := "/" + segments[len(segments)-1]
	unescaped, err := url.PathUnescape(escaped)
	return escaped, err == nil && unescaped == path
}
