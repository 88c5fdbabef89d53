package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const bearerPrefix = "Bearer "

// callerHandle is an httprouter.Handle that also receives the request's caller.
type callerHandle func(writer http.ResponseWriter, request *http.Request, params httprouter.Params, caller caller)

// requireKey passes on requests with a configured key and refuses the others.
func (server *Server) requireKey(next callerHandle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		configuration := server.configuration.Load()
		if configuration == nil {
			writeFailure(writer, unavailable(messenger.NotReady, "the node has no configuration yet", request.Header.Get(headerIdempotencyKey)))
			return
		}
		organisation, ok := authenticate(configuration, request.Header.Get("Authorization"))
		if !ok {
			writeFailure(writer, failure{status: http.StatusUnauthorized, code: codeInvalidKey, message: "the bearer key is missing or not known"})
			return
		}
		id := definer.RequestID(writer.Header().Get(headerRequestID))
		next(writer, request, params, caller{organisation: organisation.Name(), requestID: id})
	}
}

// authenticate returns the organisation that the bearer key in the header belongs to. Only hashes
// of keys are compared, so that the duration of a lookup reveals nothing about a key.
func authenticate(configuration *definer.Configuration, header string) (*definer.Organisation, bool) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return nil, false
	}
	sum := sha256.Sum256([]byte(key))
	return configuration.OrganisationByKeyHash(hex.EncodeToString(sum[:]))
}

// EqualTokens reports whether two secrets are equal. It takes constant time.
func EqualTokens(given, wanted string) bool {
	a := sha256.Sum256([]byte(given))
	b := sha256.Sum256([]byte(wanted))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
