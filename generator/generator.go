package generator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	defaultTimeout  = 60 * time.Second
	maxConnections  = 512
	defaultDuration = 10 * time.Second
	// maxOpen bounds the requests under way at once.
	maxOpen = 4096
)

// Check tells whether a text is the answer that a prompt must have.
type Check func(model, prompt, text string, tokens int) bool

// Generator sends a planned load to a list of addresses in turn.
type Generator struct {
	targets  []string
	scale    float64
	duration time.Duration
	seed     uint64
	timeout  time.Duration
	check    Check
	// issuedKeys has keyed requests take a key from their entry VM first.
	issuedKeys bool
	client     *http.Client
}

// Option changes one setting of a Generator.
type Option func(*Generator)

// WithScale multiplies the rates of all streams that are not fixed.
func WithScale(scale float64) Option { return func(generator *Generator) { generator.scale = scale } }

// WithDuration sets for how long requests arrive.
func WithDuration(duration time.Duration) Option {
	return func(generator *Generator) { generator.duration = duration }
}

// WithSeed sets the seed of all draws.
func WithSeed(seed uint64) Option { return func(generator *Generator) { generator.seed = seed } }

// WithTimeout bounds one request.
func WithTimeout(timeout time.Duration) Option {
	return func(generator *Generator) { generator.timeout = timeout }
}

// WithCheck sets how each answer's text is checked.
func WithCheck(check Check) Option { return func(generator *Generator) { generator.check = check } }

// WithIssuedKeys has each keyed request take a key that is bound to its entry
// VM first, as callers do while the platform is away. That time counts.
func WithIssuedKeys(issued bool) Option {
	return func(generator *Generator) { generator.issuedKeys = issued }
}

// New returns a generator for entry VMs at the addresses, each IP and port.
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
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, DialContext: (&net.Dialer{Timeout: generator.timeout}).DialContext}
	generator.client = &http.Client{Transport: transport}
	return generator
}

// Run sends the load, waits for every answer and returns what came of it.
func (generator *Generator) Run(ctx context.Context, mix Mix) *Result {
	arrivals := plan(mix, generator.scale, generator.duration, generator.seed)
	result := newResult(mix)
	workers := pool.New().WithMaxGoroutines(maxOpen)
	began := time.Now()
	for _, arrival := range arrivals {
		if !waitUntil(ctx, began.Add(arrival.at)) {
			break
		}
		workers.Go(func() { result.add(generator.send(ctx, began.Add(arrival.at), arrival)) })
	}
	workers.Wait()
	result.took = time.Since(began)
	generator.client.CloseIdleConnections()
	return result
}

func waitUntil(ctx context.Context, at time.Time) bool {
	clock := time.NewTimer(time.Until(at))
	defer clock.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-clock.C:
		return true
	}
}
