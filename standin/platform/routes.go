package platform

import (
	"crypto/subtle"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// requestClass determines which counter and which rate limit apply to a request.
type requestClass int

const (
	readRequest requestClass = iota
	writeRequest
	watchRequest
)

func (platform *Platform) newRouter() http.Handler {
	router := httprouter.New()
	router.GET("/objects/:kind/:name", platform.limited(readRequest, platform.getObject))
	router.GET("/objects/:kind", platform.limited(readRequest, platform.listObjects))
	router.PUT("/objects/:kind/:name", platform.limited(writeRequest, platform.putObject))
	router.DELETE("/objects/:kind/:name", platform.limited(writeRequest, platform.deleteObject))
	router.GET("/watch/:kind", platform.limited(watchRequest, platform.watch))
	router.GET("/vms", platform.limited(readRequest, platform.listVMs))
	router.PUT("/vms/:name", platform.authorised(platform.putVM))
	router.DELETE("/vms/:name", platform.authorised(platform.deleteVM))
	router.GET("/calls", platform.authorised(platform.getCalls))
	router.GET("/faults", platform.authorised(platform.getFaults))
	router.POST("/faults", platform.authorised(platform.setFaults))
	router.GET("/health", health)
	return router
}

func health(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	host.WriteJSON(writer, http.StatusOK, struct{}{})
}

// authorised checks the bearer token. Administrative endpoints for tests have no further checks.
func (platform *Platform) authorised(next httprouter.Handle) httprouter.Handle {
	want := []byte("Bearer " + platform.token)
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		given := []byte(request.Header.Get("Authorization"))
		if platform.token != "" && subtle.ConstantTimeCompare(given, want) != 1 {
			host.WriteError(writer, http.StatusUnauthorized, "unauthorised", "wrong or missing token")
			return
		}
		next(writer, request, params)
	}
}

// limited applies the token check, the outage and the rate limits to an API handler.
func (platform *Platform) limited(class requestClass, next httprouter.Handle) httprouter.Handle {
	return platform.authorised(func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		allowed := platform.countAndAllow(class)
		if platform.serveOutage(writer, request) {
			return
		}
		if !allowed {
			writer.Header().Set("Retry-After", retryAfterSeconds)
			host.WriteError(writer, http.StatusTooManyRequests, "rateLimited", "too many calls a second")
			return
		}
		next(writer, request, params)
	})
}

// countAndAllow counts the request and reports whether it is within its rate limit.
func (platform *Platform) countAndAllow(class requestClass) bool {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	limit := platform.reads
	switch class {
	case writeRequest:
		platform.calls.Writes++
		limit = platform.writes
	case watchRequest:
		platform.calls.Watches++
	default:
		platform.calls.Reads++
	}
	if limit.AllowN(platform.now(), 1) {
		return true
	}
	platform.calls.Limited++
	return false
}
