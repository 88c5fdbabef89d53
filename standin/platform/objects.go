package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

func objectKeyOf(params httprouter.Params) objectKey {
	return objectKey{kind: params.ByName("kind"), name: params.ByName("name")}
}

func (platform *Platform) getObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	platform.delayRequest(request)
	platform.mu.Lock()
	object, found := platform.store.get(objectKeyOf(params))
	platform.mu.Unlock()
	if !found {
		host.WriteError(writer, http.StatusNotFound, string(KindNotFound), "no such object")
		return
	}
	host.WriteJSON(writer, http.StatusOK, object)
}

func (platform *Platform) listObjects(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	platform.delayRequest(request)
	platform.mu.Lock()
	items := platform.store.list(params.ByName("kind"))
	platform.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, items)
}

func (platform *Platform) putObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		host.WriteError(writer, http.StatusRequestEntityTooLarge, "tooLarge", "a value has at most 1 MiB")
		return
	}
	if err != nil || !json.Valid(value) {
		host.WriteError(writer, http.StatusBadRequest, "invalidBody", "the value is not JSON")
		return
	}
	key := objectKeyOf(params)
	platform.write(writer, request, key, func(condition condition) (Object, error) {
		return platform.store.put(key, value, condition)
	})
}

func (platform *Platform) deleteObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	key := objectKeyOf(params)
	platform.write(writer, request, key, func(condition condition) (Object, error) {
		return platform.store.remove(key, condition)
	})
}

// write applies one change while holding the lock, subject to the configured write faults.
func (platform *Platform) write(
	writer http.ResponseWriter, request *http.Request, key objectKey, change func(condition) (Object, error),
) {
	condition, err := parseCondition(request.Header)
	if err != nil {
		host.WriteError(writer, http.StatusBadRequest, "invalidCondition", err.Error())
		return
	}
	platform.delayRequest(request)
	platform.mu.Lock()
	if platform.takeFailedWriteLocked() {
		platform.mu.Unlock()
		host.WriteError(writer, http.StatusInternalServerError, "failed", "the write had no effect")
		return
	}
	object, err := change(condition)
	lost := false
	if err == nil {
		lost = platform.takeLostResponseLocked(key.kind)
		platform.notifyWatchersLocked()
	}
	platform.mu.Unlock()
	if lost {
		host.CloseConnection(writer)
		return
	}
	respondToWrite(writer, object, err)
}

// missingObject is the response body of a rejected write if the object does not exist.
type missingObject struct {
	Version int64 `json:"version"`
}

// respondToWrite sends the written object, or the current object if the write was rejected.
func respondToWrite(writer http.ResponseWriter, object Object, err error) {
	var rejection *Error
	if !errors.As(err, &rejection) {
		host.WriteJSON(writer, http.StatusOK, object)
		return
	}
	if object.Version == 0 {
		host.WriteJSON(writer, rejection.status(), missingObject{})
		return
	}
	host.WriteJSON(writer, rejection.status(), object)
}

// parseCondition returns the condition in If-None-Match or If-Match. It returns an error if the
// version in If-Match is not a number.
func parseCondition(header http.Header) (condition, error) {
	if header.Get("If-None-Match") == "*" {
		return condition{checked: true}, nil
	}
	versionText := strings.Trim(header.Get("If-Match"), `"`)
	if versionText == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseInt(versionText, 10, 64)
	if err != nil {
		return condition{}, err
	}
	return condition{version: version, checked: true}, nil
}

// watch responds once objects of the kind have changed after the requested revision, or with no
// items after the requested timeout. It responds with 410 if the history no longer reaches back to
// that revision, or if the revision is later than the current one.
func (platform *Platform) watch(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	query := request.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		host.WriteError(writer, http.StatusBadRequest, "invalidSince", err.Error())
		return
	}
	platform.delayRequest(request)
	timer := time.NewTimer(watchTimeout(query.Get("timeoutMs")))
	defer timer.Stop()
	expired := false
	for {
		if platform.serveOutage(writer, request) {
			return
		}
		platform.mu.Lock()
		items, err := platform.store.changedSince(params.ByName("kind"), since)
		changed := platform.changed
		platform.mu.Unlock()
		var rejection *Error
		if errors.As(err, &rejection) {
			host.WriteError(writer, rejection.status(), string(rejection.Kind), "the history does not reach back so far")
			return
		}
		if expired || len(items.Items) > 0 {
			host.WriteJSON(writer, http.StatusOK, items)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		case <-platform.host.Done():
			host.CloseConnection(writer)
			return
		}
	}
}

// watchTimeout parses a timeout in milliseconds; an invalid one gives defaultWatchTimeout.
func watchTimeout(text string) time.Duration {
	milliseconds, err := strconv.Atoi(text)
	if err != nil || milliseconds < 0 {
		return defaultWatchTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond
}
