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
	// Unreachable marks a node that gave no answer.
	Unreachable Kind = "unreachable"
	// Refused marks a node that refused, for a wrong token for instance.
	Refused Kind = "refused"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

const (
	clientTimeout = 3 * time.Second
	maxAnswer     = 16 << 20
)

// Client asks nodes through their operators' interface.
type Client struct {
	// addresses are the nodes' operators' addresses, IP and port.
	addresses []string
	token     string
	client    *http.Client
}

// Dial returns a client of the nodes; no connection is made yet.
func Dial(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, client: &http.Client{Timeout: clientTimeout}}
}

// Addresses returns the nodes' addresses.
func (client *Client) Addresses() []string { return client.addresses }

// Answer is what one node said, or why it said nothing.
type Answer[Value any] struct {
	address string
	value   Value
	failure error
}

// Address returns the node's operators' address.
func (answer Answer[Value]) Address() string { return answer.address }

// Value returns what the node said; it is empty after a failure.
func (answer Answer[Value]) Value() Value { return answer.value }

// Failure returns why the node said nothing, or nil.
func (answer Answer[Value]) Failure() error { return answer.failure }

// Status asks every node, at once, what it knows of itself.
func (client *Client) Status(ctx context.Context) []Answer[decider.Status] {
	return gather[decider.Status](ctx, client, http.MethodGet, "/status")
}

// Snapshots asks every node, at once, what it has counted.
func (client *Client) Snapshots(ctx context.Context) []Answer[recorder.Snapshot] {
	return gather[recorder.Snapshot](ctx, client, http.MethodGet, "/snapshot")
}

// Configurations asks every node, at once, for the configuration it applies.
func (client *Client) Configurations(ctx context.Context) []Answer[InForce] {
	return gather[InForce](ctx, client, http.MethodGet, "/configuration")
}

// Drain asks every node, at once, for a planned stop.
func (client *Client) Drain(ctx context.Context) []Answer[struct{}] {
	return gather[struct{}](ctx, client, http.MethodPost, "/drain")
}

// gather asks every node and returns the answers in the order of the addresses.
func gather[Value any](ctx context.Context, client *Client, method, path string) []Answer[Value] {
	return iter.Map(client.addresses, func(address *string) Answer[Value] {
		answer := Answer[Value]{address: *address}
		answer.failure = client.ask(ctx, method, *address, path, &answer.value)
		return answer
	})
}

func (client *Client) ask(ctx context.Context, method, address, path string, value any) error {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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
