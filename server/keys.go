package server

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/decider"
)

// issuedKey is the body of the response to POST /v1/keys.
type issuedKey struct {
	Object string `json:"object"`
	Key    string `json:"key"`
}

// serveKey responds with a new idempotency key that is bound to this process.
func (server *Server) serveKey(writer http.ResponseWriter, request *http.Request, _ httprouter.Params, caller caller) {
	mailbox := server.mailboxes.add(caller.requestID)
	defer server.mailboxes.remove(caller.requestID)
	server.core.Submit(decider.KeyRequested{Request: caller.requestID})
	select {
	case <-request.Context().Done():
	case action := <-mailbox.actions:
		writeKey(writer, action)
	}
}

func writeKey(writer http.ResponseWriter, action decider.Action) {
	issued, ok := action.(decider.KeyIssued)
	if !ok || issued.Key == "" {
		writeFailure(writer, stoppingFailure(""))
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(writer).Encode(issuedKey{Object: "key", Key: issued.Key})
}
