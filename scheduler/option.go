package scheduler

import "limpetcleat/definer"

// Option changes one setting of a Scheduler.
type Option func(*Scheduler)

// defaultAffinity is the load, relative to the mean, up to which an upstream
// attracts its prefixes.
const defaultAffinity = 1.25

// WithLimiter sets where the number of slots comes from.
func WithLimiter(limiter Limiter) Option {
	return func(scheduler *Scheduler) { scheduler.limiter = limiter }
}

// WithEstimator sets where the expected lengths of answers come from.
func WithEstimator(estimator Estimator) Option {
	return func(scheduler *Scheduler) { scheduler.estimator = estimator }
}

// WithPolicy sets how the queue is ordered and bounded; the default is
// ServiceLevels.
func WithPolicy(policy Policy) Option {
	return func(scheduler *Scheduler) { scheduler.traits = policy.traits() }
}

// WithPool sets the pool whose shares and kind apply; see Adjust.
func WithPool(pool *definer.Pool) Option {
	return func(scheduler *Scheduler) { scheduler.Adjust(pool) }
}

// WithPrefixAffinity turns prefix affinity on, whatever the pool says. An
// upstream attracts its prefixes while its load is at most the factor times the
// mean; a factor of 0 turns affinity off.
func WithPrefixAffinity(factor float64) Option {
	return func(scheduler *Scheduler) {
		scheduler.affinity = factor
		scheduler.affinityForced = true
	}
}

// WithLongestQueue bounds the number of waiting asks.
func WithLongestQueue(count int) Option {
	return func(scheduler *Scheduler) { scheduler.longest = count }
}

// Adjust sets the pool whose protected share, kind and prefix affinity apply
// from the next Configure on.
func (scheduler *Scheduler) Adjust(pool *definer.Pool) {
	scheduler.pool = pool
	if scheduler.affinityForced {
		return
	}
	scheduler.affinity = 0
	if pool.PrefixAffinity() {
		scheduler.affinity = defaultAffinity
	}
}

// protectedShare returns the share of slots that only protected classes use.
func (scheduler *Scheduler) protectedShare() float64 {
	if scheduler.pool == nil || !scheduler.traits.protection {
		return 0
	}
	return scheduler.pool.ProtectedShare()
}

// pauses tells whether the shard's upstreams can pause a request.
func (scheduler *Scheduler) pauses() bool {
	return scheduler.traits.preemption && !scheduler.plain()
}

// plain tells whether the shard's upstreams are services, which have no tokens.
func (scheduler *Scheduler) plain() bool {
	return scheduler.pool != nil && scheduler.pool.Kind() == definer.Service
}
