package server

import (
	"net/http"

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
	path := params.ByName("path")
	arrived.Properties.Path = path
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	exchange := dispatcher.Exchange{Method: request.Method, Path: path, Header: request.Header, Body: body}
	server.serveRequest(request, writer, arrived, exchange)
}
