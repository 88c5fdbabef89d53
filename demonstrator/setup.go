package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/failer"
	"limpetcleat/storer"
)

// Kind classifies an Error.
type Kind string

const (
	// NotStarted is the kind of a failure to start a part of the system.
	NotStarted Kind = "notStarted"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func newError(operation string, format string, values ...any) *Error {
	return failer.New("demonstrator."+operation, NotStarted, format, values...)
}

func nodeName(index int) string { return "entry-" + strconv.Itoa(index+1) }

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, newError("listen", "%w", err)
	}
	return listener, nil
}

// StoreConfiguration writes the document to the platform as the first version of the configuration.
func StoreConfiguration(ctx context.Context, address string, document definer.Document) error {
	client := storer.New([]string{address}, "")
	defer client.Close()
	if _, err := editor.New(client, "demo").Edit(ctx, editor.Replace(0, "first version", document)); err != nil {
		return newError("Store", "%w", err)
	}
	return nil
}

// AwaitReady polls the nodes at the callers' addresses until each is ready. It returns an error if
// the context ends first.
func AwaitReady(ctx context.Context, callers ...string) error {
	for _, address := range callers {
		for !IsReady(ctx, address) {
			select {
			case <-ctx.Done():
				return newError("AwaitReady", "%w", fmt.Errorf("%s is not ready: %w", address, ctx.Err()))
			case <-time.After(readinessPollInterval):
			}
		}
	}
	return nil
}

// IsReady reports whether the node at the callers' address answers its readiness probe with 200.
func IsReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
