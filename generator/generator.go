package generator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	defaultTimeout            = 60 * time.Second
	maxIdleConnectionsPerHost = 512
	defaultDuration           = 10 * time.Second
	// maxInFlight bounds the number of concurrent requests. Further requests wait, and their
	// latency includes the wait.
	maxInFlight = 4096
)

// AnswerCheck reports whether text is the expected answer of the model to the prompt; tokens is
// the number of tokens that the prompt requests.
type AnswerCheck func(model, prompt, text string, tokens int) bool

// Generator sends a planned load to a list of addresses, in round-robin order.
type Generator struct {
	targets  []string
	scale    float64
	duration time.Duration
	seed     uint64
	timeout  time.Duration
	check    AnswerCheck
	// issuedKeys makes each keyed request obtain its idempotency key from its entry VM first.
	issuedKeys bool
	client     *http.Client
}

// Option configures a Generator.
type Option func(*Generator)

// WithScale sets the factor for the rates of all streams that are not fixed; the default is 1.
func WithScale(scale float64) Option { return func(generator *Generator) { generator.scale = scale } }

// WithDuration sets the period in which requests arrive; the default is 10 s.
func WithDuration(duration time.Duration) Option {
	return func(generator *Generator) { generator.duration = duration }
}

// WithSeed sets the seed of the arrival times and answer lengths.
func WithSeed(seed uint64) Option { return func(generator *Generator) { generator.seed = seed } }

// WithTimeout sets the timeout of each request, which includes the request for its key. It starts
// when the first of them is sent; the default is 60 s.
func WithTimeout(timeout time.Duration) Option {
	return func(generator *Generator) { generator.timeout = timeout }
}

// WithCheck sets the check of each complete answer's text; by default every text is accepted.
func WithCheck(check AnswerCheck) Option {
	return func(generator *Generator) { generator.check = check }
}

// WithIssuedKeys sets whether each keyed request first obtains an idempotency key that is bound
// to its entry VM, as callers do while the platform is unavailable. The time that this takes is
// part of the request's latency.
func WithIssuedKeys(issued bool) Option {
	return func(generator *Generator) { generator.issuedKeys = issued }
}

// New returns a generator for the entry VMs at the target addresses, each in the form IP:port.
func New(targets []string, options ...Option) *Generator {
	generator := &Generator{
		targets:  targets,
		scale:    1,
		duration: defaultDuration,
		timeout:  defaultTimeout,
		check:    func(string, string, string, int) bool { return true },
	}
	for _, option := range options {
		option(generator)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerHost, DialContext: (&net.Dialer{Timeout: generator.timeout}).DialContext}
	generator.client = &http.Client{Transport: transport}
	return generator
}

// Run sends the load, waits for all answers and returns the result. When ctx is cancelled, Run
// sends no further requests and cancels those in flight.
func (generator *Generator) Run(ctx context.Context, mix Mix) *Result {
	arrivals := planArrivals(mix, generator.scale, generator.duration, generator.seed)
	result := newResult(mix)
	workers := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for _, arrival := range arrivals {
		if !waitUntil(ctx, start.Add(arrival.offset)) {
			break
		}
		workers.Go(func() { result.record(generator.send(ctx, start.Add(arrival.offset), arrival)) })
	}
	workers.Wait()
	result.elapsed = time.Since(start)
	generator.client.CloseIdleConnections()
	return result
}

// waitUntil waits for the deadline and reports whether it passed before ctx was done.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
