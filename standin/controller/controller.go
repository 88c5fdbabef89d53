// Package controller is a client for the administrative HTTP endpoints of the stand-ins. It
// injects faults into them and reads the requests and attempts that they recorded.
package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"limpetcleat/failer"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
)

const defaultRequestTimeout = 2 * time.Second

// Kind classifies an Error.
type Kind string

// RequestFailed marks an administrative request that failed or was rejected.
const RequestFailed Kind = "failing"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Controller sends administrative requests to one stand-in.
type Controller struct {
	address string
	client  *http.Client
}

// Option configures a Controller.
type Option func(*Controller)

// WithClient sets the HTTP client. The default client has a timeout of 2 s, so that a request to an
// unresponsive stand-in ends, and does not keep connections alive.
func WithClient(client *http.Client) Option {
	return func(controller *Controller) { controller.client = client }
}

// New returns a Controller for the stand-in at the address, which has the form host:port.
func New(address string, opts ...Option) *Controller {
	controller := &Controller{address: address, client: &http.Client{
		Timeout:   defaultRequestTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for _, opt := range opts {
		opt(controller)
	}
	return controller
}

// SetFaults configures fault injection in an engine or in the platform. The value is encoded as
// JSON; omitted fields keep their values.
func (controller *Controller) SetFaults(ctx context.Context, faults any) error {
	return controller.order(ctx, http.MethodPost, "/faults", faults)
}

// SetServiceFaults configures fault injection in a plain service, in the same way as SetFaults.
func (controller *Controller) SetServiceFaults(ctx context.Context, faults any) error {
	return controller.order(ctx, http.MethodPost, "/_standin/faults", faults)
}

// PutVM creates or replaces one entry in the platform's list of VMs.
func (controller *Controller) PutVM(ctx context.Context, vm storer.VM) error {
	return controller.order(ctx, http.MethodPut, "/vms/"+url.PathEscape(vm.Name), vm)
}

// Leave makes an engine announce that it is leaving.
func (controller *Controller) Leave(ctx context.Context) error {
	return controller.order(ctx, http.MethodPost, "/admin/leave", struct{}{})
}

// EngineRuns returns an engine's record of its attempts.
func (controller *Controller) EngineRuns(ctx context.Context) (engine.Runs, error) {
	return read[engine.Runs](ctx, controller, "/runs")
}

// ServiceRuns returns a plain service's record of its requests, restricted to one key unless it is
// empty.
func (controller *Controller) ServiceRuns(ctx context.Context, key string) (service.Runs, error) {
	path := "/_standin/runs"
	if key != "" {
		path += "?key=" + url.QueryEscape(key)
	}
	return read[service.Runs](ctx, controller, path)
}

// PlatformCalls returns the platform's counts of received API requests.
func (controller *Controller) PlatformCalls(ctx context.Context) (platform.Calls, error) {
	return read[platform.Calls](ctx, controller, "/calls")
}

// AttemptsOf returns an engine's records of the attempts of a request.
func (controller *Controller) AttemptsOf(ctx context.Context, requestID string) ([]engine.Record, error) {
	runs, err := controller.EngineRuns(ctx)
	return slices.DeleteFunc(runs.Attempts, func(record engine.Record) bool { return !IsAttemptOf(record.AttemptID, requestID) }), err
}

// IsAttemptOf reports whether an attempt belongs to the request. It is false for an empty request
// ID.
func IsAttemptOf(attemptID, requestID string) bool {
	return requestID != "" && strings.HasPrefix(attemptID, requestID+".")
}

// order sends an administrative request with a JSON body and discards the response body.
func (controller *Controller) order(ctx context.Context, method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return failer.New("controller.order", RequestFailed, "%w", err)
	}
	return controller.call(ctx, method, path, data, nil)
}

// read fetches and decodes a JSON record.
func read[Record any](ctx context.Context, controller *Controller, path string) (Record, error) {
	var record Record
	err := controller.call(ctx, http.MethodGet, path, nil, &record)
	return record, err
}

// call sends a request and decodes the response body into the target unless it is nil. A status
// other than 200 is an error.
func (controller *Controller) call(ctx context.Context, method, path string, body []byte, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+controller.address+path, bytes.NewReader(body))
	if err != nil {
		return failer.New("controller.call", RequestFailed, "%w", err)
	}
	response, err := controller.client.Do(request)
	if err != nil {
		return failer.New("controller.call", RequestFailed, "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return failer.New("controller.call", RequestFailed, "%s %s: unexpected status %s", method, path, response.Status)
	}
	if target == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return failer.New("controller.call", RequestFailed, "%s %s: %w", method, path, err)
	}
	return nil
}
