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

// handle serves a request of a known caller.
type handle func(writer http.ResponseWriter, request *http.Request, params httprouter.Params, caller caller)

// authenticated lets only requests with a known key pass.
func (server *Server) authenticated(next handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		configuration := server.configuration.Load()
		if configuration == nil {
			writeFailure(writer, notNow(messenger.NotReady, "the node has no configuration yet", request.Header.Get(headerKey)))
			return
		}
		organisation, ok := authenticate(configuration, request.Header.Get("Authorization"))
		if !ok {
			writeFailure(writer, callerFailure{status: http.StatusUnauthorized, code: codeInvalidKey, message: "the bearer key is missing or not known"})
			return
		}
		id := definer.RequestID(writer.Header().Get(headerRequest))
		next(writer, request, params, caller{organisation: organisation.Name(), request: id})
	}
}

// authenticate returns the organisation whose key the header holds. Only sums
// of keys are compared, in constant time.
func authenticate(configuration *definer.Configuration, header string) (*definer.Organisation, bool) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return nil, false
	}
	sum := sha256.Sum256([]byte(key))
	return configuration.OrganisationByKeyHash(hex.EncodeToString(sum[:]))
}

// SameToken compares two secrets in constant time.
func SameToken(given, wanted string) bool {
	a := sha256.Sum256([]byte(given))
	b := sha256.Sum256([]byte(wanted))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
