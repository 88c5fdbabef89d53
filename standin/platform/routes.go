package platform

import (
	"crypto/subtle"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// callClass says which rate limit a call falls under.
type callClass int

const (
	readCall callClass = iota
	writeCall
	watchCall
)

func (platform *Platform) routes() http.Handler {
	router := httprouter.New()
	router.GET("/objects/:kind/:name", platform.call(readCall, platform.getObject))
	router.GET("/objects/:kind", platform.call(readCall, platform.listObjects))
	router.PUT("/objects/:kind/:name", platform.call(writeCall, platform.putObject))
	router.DELETE("/objects/:kind/:name", platform.call(writeCall, platform.deleteObject))
	router.GET("/watch/:kind", platform.call(watchCall, platform.watch))
	router.GET("/vms", platform.call(readCall, platform.listVMs))
	router.PUT("/vms/:name", platform.authorised(platform.putVM))
	router.DELETE("/vms/:name", platform.authorised(platform.deleteVM))
	router.GET("/calls", platform.authorised(platform.getCalls))
	router.GET("/faults", platform.authorised(platform.getFaults))
	router.POST("/faults", platform.authorised(platform.setFaults))
	router.GET("/health", health)
	return router
}

func health(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	host.Answer(writer, http.StatusOK, struct{}{})
}

// authorised checks the bearer token. Calls of the tests' own stop here.
func (platform *Platform) authorised(next httprouter.Handle) httprouter.Handle {
	want := []byte("Bearer " + platform.token)
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		given := []byte(request.Header.Get("Authorization"))
		if platform.token != "" && subtle.ConstantTimeCompare(given, want) != 1 {
			host.Fail(writer, http.StatusUnauthorized, "unauthorised", "wrong or missing token")
			return
		}
		next(writer, request, params)
	}
}

// call puts the token, the outage, the rate limits and the slowness before a
// call of the API.
func (platform *Platform) call(class callClass, next httprouter.Handle) httprouter.Handle {
	return platform.authorised(func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		allowed := platform.count(class)
		if platform.outage(writer, request) {
			return
		}
		if !allowed {
			writer.Header().Set("Retry-After", retryAfterValue)
			host.Fail(writer, http.StatusTooManyRequests, "rateLimited", "too many calls a second")
			return
		}
		next(writer, request, params)
	})
}

// count records the call and returns whether its rate limit has room.
func (platform *Platform) count(class callClass) bool {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	limit := platform.reads
	switch class {
	case writeCall:
		platform.calls.Writes++
		limit = platform.writes
	case watchCall:
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
