package decider

import (
	"limpetcleat/definer"
	"limpetcleat/estimator"
	"limpetcleat/limiter"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

// WithPolicy sets the policy by which shards are scheduled; the default is
// scheduler.ServiceLevels.
func WithPolicy(policy scheduler.Policy) Option {
	return func(core *core) { core.policy = policy }
}

// newScheduler returns the scheduler of a shard that this node begins to own,
// with the default set of policies. The lengths of answers are learnt for the
// whole node, the limits of upstreams for the shard.
func (owner *owner) newScheduler(shard messenger.Shard, pool *definer.Pool) *scheduler.Scheduler {
	if owner.lengths == nil {
		owner.lengths = estimator.New()
	}
	options := []scheduler.Option{
		scheduler.WithPool(pool),
		scheduler.WithEstimator(owner.lengths),
		scheduler.WithPolicy(owner.policy),
	}
	if owner.policy == scheduler.ServiceLevels {
		options = append(options, scheduler.WithLimiter(limiter.New()))
	}
	return scheduler.New(shard, owner.self, options...)
}
