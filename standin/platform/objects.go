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

func keyOf(params httprouter.Params) objectKey {
	return objectKey{kind: params.ByName("kind"), name: params.ByName("name")}
}

func (platform *Platform) getObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	platform.slow(request)
	platform.mu.Lock()
	object, found := platform.store.get(keyOf(params))
	platform.mu.Unlock()
	if !found {
		host.Fail(writer, http.StatusNotFound, string(KindNotFound), "no such object")
		return
	}
	host.Answer(writer, http.StatusOK, object)
}

func (platform *Platform) listObjects(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	platform.slow(request)
	platform.mu.Lock()
	items := platform.store.list(params.ByName("kind"))
	platform.mu.Unlock()
	host.Answer(writer, http.StatusOK, items)
}

func (platform *Platform) putObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		host.Fail(writer, http.StatusRequestEntityTooLarge, "tooLarge", "a value has at most 1 MiB")
		return
	}
	if err != nil || !json.Valid(value) {
		host.Fail(writer, http.StatusBadRequest, "invalidBody", "the value is not JSON")
		return
	}
	key := keyOf(params)
	platform.write(writer, request, key, func(condition condition) (Object, error) {
		return platform.store.put(key, value, condition)
	})
}

func (platform *Platform) deleteObject(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	key := keyOf(params)
	platform.write(writer, request, key, func(condition condition) (Object, error) {
		return platform.store.remove(key, condition)
	})
}

// write carries out one change under the lock, with the faults that writes can
// have.
func (platform *Platform) write(
	writer http.ResponseWriter, request *http.Request, key objectKey, change func(condition) (Object, error),
) {
	condition, err := conditionOf(request.Header)
	if err != nil {
		host.Fail(writer, http.StatusBadRequest, "invalidCondition", err.Error())
		return
	}
	platform.slow(request)
	platform.mu.Lock()
	if platform.failLocked() {
		platform.mu.Unlock()
		host.Fail(writer, http.StatusInternalServerError, "failed", "the write had no effect")
		return
	}
	object, err := change(condition)
	lost := false
	if err == nil {
		lost = platform.loseLocked(key.kind)
		platform.wakeLocked()
	}
	platform.mu.Unlock()
	if lost {
		host.Cut(writer)
		return
	}
	answerWrite(writer, object, err)
}

// absent is the body of a failed condition where no object stands.
type absent struct {
	Version int64 `json:"version"`
}

func answerWrite(writer http.ResponseWriter, object Object, err error) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		host.Answer(writer, http.StatusOK, object)
		return
	}
	if object.Version == 0 {
		host.Answer(writer, refusal.status(), absent{})
		return
	}
	host.Answer(writer, refusal.status(), object)
}

func conditionOf(header http.Header) (condition, error) {
	if header.Get("If-None-Match") == "*" {
		return condition{checked: true}, nil
	}
	match := strings.Trim(header.Get("If-Match"), `"`)
	if match == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseInt(match, 10, 64)
	if err != nil {
		return condition{}, err
	}
	return condition{version: version, checked: true}, nil
}

func (platform *Platform) watch(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	query := request.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		host.Fail(writer, http.StatusBadRequest, "invalidSince", err.Error())
		return
	}
	platform.slow(request)
	timer := time.NewTimer(watchTimeout(query.Get("timeoutMs")))
	defer timer.Stop()
	expired := false
	for {
		if platform.outage(writer, request) {
			return
		}
		platform.mu.Lock()
		items, err := platform.store.since(params.ByName("kind"), since)
		changed := platform.changed
		platform.mu.Unlock()
		var refusal *Error
		if errors.As(err, &refusal) {
			host.Fail(writer, refusal.status(), string(refusal.Kind), "the history does not reach back so far")
			return
		}
		if expired || len(items.Items) > 0 {
			host.Answer(writer, http.StatusOK, items)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
			return
		case <-platform.host.Done():
			host.Cut(writer)
			return
		}
	}
}

func watchTimeout(text string) time.Duration {
	milliseconds, err := strconv.Atoi(text)
	if err != nil || milliseconds < 0 {
		return defaultWatch
	}
	return time.Duration(milliseconds) * time.Millisecond
}
