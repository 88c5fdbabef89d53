package forwarder

import (
	"context"
	"errors"
	"slices"
	"time"

	"limpetcleat/inquirer"
	"limpetcleat/logger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// errUnhealthy is why a request is not sent to an upstream on probation.
var errUnhealthy = errors.New("the upstream, whose entry was written again after its removal, did not state that it is healthy")

// needsHealth reports whether the upstream is sent the request only if it states that it is healthy: its entry may
// be one from before it left.
func (exchange *exchange) needsHealth(now time.Time, upstream *registrar.Upstream) bool {
	return exchange.service.HealthPath != "" && upstream.OnProbation(now)
}

// withoutUnhealthy returns the upstreams without those on probation that were asked and are not known to be healthy.
// Either all of a service are on probation or none is, but for the moment in which probations end.
func (exchange *exchange) withoutUnhealthy(upstreams []*registrar.Upstream) []*registrar.Upstream {
	now := time.Now()
	if len(upstreams) == 0 || !exchange.needsHealth(now, upstreams[0]) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream *registrar.Upstream) bool {
		return exchange.needsHealth(now, upstream) && exchange.forwarder.inquirer.Verdict(now, subjectOf(upstream)) == inquirer.Unhealthy
	})
}

// confirmHealth reports whether the upstream may be sent the request as to its health; if not, it ends the assignment. It
// asks before there is a connection, which could take the only leave that the upstream gives.
func (exchange *exchange) confirmHealth(ctx context.Context, assignment *selector.Assignment) bool {
	now, upstream := time.Now(), assignment.Upstream()
	if !exchange.needsHealth(now, upstream) || exchange.isHealthy(ctx, upstream) {
		return true
	}
	assignment.End(time.Now(), selector.Abandoned)
	return false
}

// isHealthy reports whether the upstream states that it is healthy, or did so lately.
func (exchange *exchange) isHealthy(ctx context.Context, upstream *registrar.Upstream) bool {
	return exchange.forwarder.inquirer.Ask(ctx, exchange.forwarder.starting, subjectOf(upstream), func(ctx context.Context) bool {
		return exchange.askHealth(ctx, upstream)
	})
}

func subjectOf(upstream *registrar.Upstream) inquirer.Subject {
	return inquirer.Subject{Start: upstream.Start(), Address: upstream.Address}
}

// askHealth asks an upstream whether it is healthy.
func (exchange *exchange) askHealth(ctx context.Context, upstream *registrar.Upstream) bool {
	forwarder := exchange.forwarder
	began := time.Now()
	status, header, err := forwarder.connector.Ask(ctx, upstream.Address, exchange.service.HealthPath, exchange.admission(upstream))
	healthy := err == nil && forwarder.protocol.IsHealthy(status, header, upstream.ID)
	forwarder.log(logger.EventHealthAsked, "upstream", upstream.ID, "healthy", healthy, "status", status, "address", upstream.Address,
		"afterMs", time.Since(began).Milliseconds(), "cause", err)
	return healthy
}
