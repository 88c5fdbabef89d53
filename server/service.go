package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

// service serves calls to plain services.
func (server *Server) service(writer http.ResponseWriter, request *http.Request, params httprouter.Params, organisation *definer.Organisation) {
	body, failure, ok := server.read(writer, request)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived, failure, ok := arrival(request, organisation, body)
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
	server.carry(request.Context(), writer, arrived, exchange)
}
