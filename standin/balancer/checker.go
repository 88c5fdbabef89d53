package balancer

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// runHealthChecks checks the health of all back ends in every period until the
// context ends.
func (balancer *Balancer) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(balancer.healthPeriod)
	defer ticker.Stop()
	for {
		balancer.checkBackends(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (balancer *Balancer) checkBackends(ctx context.Context) {
	balancer.mu.Lock()
	addresses := slices.Clone(balancer.backends)
	balancer.mu.Unlock()
	var workers conc.WaitGroup
	for _, address := range addresses {
		workers.Go(func() {
			ready := balancer.checkBackend(ctx, address)
			balancer.mu.Lock()
			defer balancer.mu.Unlock()
			balancer.unready[address] = !ready
		})
	}
	workers.Wait()
}

func (balancer *Balancer) checkBackend(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+balancer.healthPath, nil)
	if err != nil {
		return false
	}
	response, err := balancer.healthClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
