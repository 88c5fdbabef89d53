package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/dispatcher"
)

// service serves calls to plain services.
func (server *Server) service(writer http.ResponseWriter, request *http.Request, params httprouter.Params, caller caller) {
	body, failure, ok := server.read(writer, request)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived, failure, ok := arrival(request, caller, body)
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
	server.carry(request, writer, arrived, exchange)
}
