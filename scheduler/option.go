package scheduler

import "limpetcleat/definer"

// Option changes one setting of a Scheduler.
type Option func(*Scheduler)

// defaultAffinity is the highest load, relative to the mean, at which an upstream
// still gets its prefixes.
const defaultAffinity = 1.25

// WithLimiter sets the source of the concurrency limits; the default is the number of
// slots in the configuration.
func WithLimiter(limiter Limiter) Option {
	return func(scheduler *Scheduler) { scheduler.limiter = limiter }
}

// WithEstimator sets the source of the expected lengths of answers; the default expects
// the same length of all.
func WithEstimator(estimator Estimator) Option {
	return func(scheduler *Scheduler) { scheduler.estimator = estimator }
}

// WithPolicy sets the scheduling policy; the default is ServiceLevels.
func WithPolicy(policy Policy) Option {
	return func(scheduler *Scheduler) { scheduler.features = policy.features() }
}

// WithPool sets the pool whose shares and kind apply; see SetPool.
func WithPool(pool *definer.Pool) Option {
	return func(scheduler *Scheduler) { scheduler.SetPool(pool) }
}

// WithPrefixAffinity overrides the prefix affinity of the pool. An upstream gets
// its prefixes while its load is at most the factor times the mean; a factor of 0
// disables affinity.
func WithPrefixAffinity(factor float64) Option {
	return func(scheduler *Scheduler) {
		scheduler.affinity = factor
		scheduler.affinityForced = true
	}
}

// WithMaxQueueLength bounds the number of waiting asks.
func WithMaxQueueLength(count int) Option {
	return func(scheduler *Scheduler) { scheduler.maxQueue = count }
}

// SetPool sets the pool that determines the protected share, the kind of upstreams and
// the prefix affinity. Call Configure afterwards to apply the protected share.
func (scheduler *Scheduler) SetPool(pool *definer.Pool) {
	scheduler.pool = pool
	if scheduler.affinityForced {
		return
	}
	scheduler.affinity = 0
	if pool.PrefixAffinity() {
		scheduler.affinity = defaultAffinity
	}
}

// protectedShare returns the share of slots that is reserved for protected classes.
func (scheduler *Scheduler) protectedShare() float64 {
	if scheduler.pool == nil || !scheduler.features.protection {
		return 0
	}
	return scheduler.pool.ProtectedShare()
}

// canPreempt reports whether the shard's upstreams may be told to pause requests.
func (scheduler *Scheduler) canPreempt() bool {
	return scheduler.features.preemption && !scheduler.servesServices()
}

// servesServices reports whether the shard's upstreams are services, which produce no
// tokens.
func (scheduler *Scheduler) servesServices() bool {
	return scheduler.pool != nil && scheduler.pool.Kind() == definer.Service
}
