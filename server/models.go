package server

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that at least one pool offers.
func (server *Server) serveModels(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params, _ caller) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range server.configuration.Load().Models() {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: "limpetcleat"})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}
