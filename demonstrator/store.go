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
	// NotStarted marks a part of the system that did not come up.
	NotStarted Kind = "notStarted"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, format string, values ...any) *Error {
	return failer.New("demonstrator."+operation, NotStarted, format, values...)
}

func nodeName(index int) string { return "entry-" + strconv.Itoa(index+1) }

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fail("listen", "%w", err)
	}
	return listener, nil
}

// Store writes the first version of a configuration to the platform.
func Store(ctx context.Context, address string, document definer.Document) error {
	client := storer.New([]string{address}, "")
	defer client.Close()
	if _, err := editor.New(client, "demo").Edit(ctx, editor.Replace(0, "first version", document)); err != nil {
		return fail("Store", "%w", err)
	}
	return nil
}

// AwaitReady returns once every node says that it takes callers, or with an
// error once the context has ended.
func AwaitReady(ctx context.Context, callers ...string) error {
	for _, address := range callers {
		for !IsReady(ctx, address) {
			select {
			case <-ctx.Done():
				return fail("AwaitReady", "%w", fmt.Errorf("%s is not ready: %w", address, ctx.Err()))
			case <-time.After(readyEvery):
			}
		}
	}
	return nil
}

// IsReady tells whether a node says that it takes callers.
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
