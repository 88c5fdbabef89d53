package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/iter"

	"limpetcleat/decider"
	"limpetcleat/failer"
	"limpetcleat/recorder"
)

// Kind classifies an Error.
type Kind string

const (
	// Unreachable marks a node that returned no complete and valid answer.
	Unreachable Kind = "unreachable"
	// Refused marks a node that answered with an error status, such as 401 for a wrong token.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// clientTimeout bounds a call to one node.
	clientTimeout  = 3 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client calls the operators' interfaces of nodes. It is safe for concurrent use.
type Client struct {
	// addresses are the addresses of the operators' interfaces, with ports.
	addresses []string
	token     string
	client    *http.Client
}

// NewClient returns a client of the nodes at the addresses, which authenticates with the operators'
// token. It makes no connection yet.
func NewClient(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, client: &http.Client{Timeout: clientTimeout}}
}

// Addresses returns the addresses of the nodes' operators' interfaces.
func (client *Client) Addresses() []string { return client.addresses }

// Answer is the value that one node returned, or the error of the call.
type Answer[Value any] struct {
	address string
	value   Value
	failure error
}

// Address returns the address of the node's operators' interface.
func (answer Answer[Value]) Address() string { return answer.address }

// Value returns the value that the node returned; valid only if Failure returns nil.
func (answer Answer[Value]) Value() Value { return answer.value }

// Failure returns the error of the call, an Error, or nil.
func (answer Answer[Value]) Failure() error { return answer.failure }

// Status requests the status of all nodes concurrently.
func (client *Client) Status(ctx context.Context) []Answer[decider.Status] {
	return callAll[decider.Status](ctx, client, http.MethodGet, "/status")
}

// Snapshots requests the recorded counts of all nodes concurrently.
func (client *Client) Snapshots(ctx context.Context) []Answer[recorder.Snapshot] {
	return callAll[recorder.Snapshot](ctx, client, http.MethodGet, "/snapshot")
}

// Configurations requests the configuration in force from all nodes concurrently.
func (client *Client) Configurations(ctx context.Context) []Answer[ConfigurationInForce] {
	return callAll[ConfigurationInForce](ctx, client, http.MethodGet, "/configuration")
}

// Drain requests a planned stop of all nodes concurrently.
func (client *Client) Drain(ctx context.Context) []Answer[struct{}] {
	return callAll[struct{}](ctx, client, http.MethodPost, "/drain")
}

// callAll calls all nodes concurrently and returns the answers in the order of the addresses.
func callAll[Value any](ctx context.Context, client *Client, method, path string) []Answer[Value] {
	return iter.Map(client.addresses, func(address *string) Answer[Value] {
		answer := Answer[Value]{address: *address}
		answer.failure = client.call(ctx, method, *address, path, &answer.value)
		return answer
	})
}

// call makes one call and decodes the body of the answer, unless it is empty, into value.
func (client *Client) call(ctx context.Context, method, address, path string, value any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return failer.New("operator.ask", Unreachable, "%w", err)
	}
	request.Header.Set("Authorization", "Bearer "+client.token)
	response, err := client.client.Do(request)
	if err != nil {
		return failer.New("operator.ask", Unreachable, "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return failer.New("operator.ask", Unreachable, "%w", err)
	}
	if response.StatusCode/100 != 2 {
		return failer.New("operator.ask", Refused, "%s answered %s", address, response.Status)
	}
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, value); err != nil {
		return failer.New("operator.ask", Unreachable, "%s: %w", address, err)
	}
	return nil
}
