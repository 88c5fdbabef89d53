package store

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Fate says when a write is executed and whether its caller is told. The zero value is a write that is lost.
type Fate struct {
	// Executions are the times from the call to each execution. Those after the first repeat the
	// call, and a later call may overtake any.
	Executions []time.Duration
	// Answered is set if the caller receives the response of the first execution; otherwise
	// nothing is received on the connection any more.
	Answered bool
}

// SetWriteFates sets the function that decides on the fate of each write by its method, kind and name; nil
// ends this. The name is empty if the call creates an object. It must not call the store.
func (store *Store) SetWriteFates(fateOf func(method, kind, name string) Fate) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fateOf = fateOf
}

// fated executes a write according to its fate.
func (store *Store) fated(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		store.mutex.Lock()
		fateOf := store.fateOf
		store.mutex.Unlock()
		if fateOf == nil {
			handle(writer, request, params)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return // The client has disconnected.
		}
		fate := fateOf(request.Method, params.ByName("kind"), params.ByName("name"))
		responses := make(chan *httptest.ResponseRecorder, len(fate.Executions))
		for _, delay := range fate.Executions {
			time.AfterFunc(delay, func() {
				repeated := request.Clone(request.Context())
				repeated.Body = io.NopCloser(bytes.NewReader(body))
				recorder := httptest.NewRecorder()
				handle(recorder, repeated, params)
				responses <- recorder
			})
		}
		if !fate.Answered {
			<-request.Context().Done()
			return
		}
		select {
		case response := <-responses:
			copyResponse(writer, response)
		case <-request.Context().Done():
		}
	}
}

// copyResponse writes a recorded response.
func copyResponse(writer http.ResponseWriter, response *httptest.ResponseRecorder) {
	for name, values := range response.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.Code)
	_, _ = writer.Write(response.Body.Bytes()) // The error means that the client has disconnected.
}
