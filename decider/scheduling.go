package decider

import (
	"limpetcleat/definer"
	"limpetcleat/estimator"
	"limpetcleat/limiter"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

// WithPolicy sets the scheduling policy of all shards; the default is
// scheduler.ServiceLevels.
func WithPolicy(policy scheduler.Policy) Option {
	return func(core *core) { core.policy = policy }
}

// newOwnedShard returns a shard that this node starts to own. The lengths of
// answers are learned for the whole node, the limits of upstreams for each
// shard.
func (owner *owner) newOwnedShard(shard messenger.Shard, pool *definer.Pool) *ownedShard {
	if owner.lengths == nil {
		owner.lengths = estimator.New()
	}
	options := []scheduler.Option{
		scheduler.WithPool(pool),
		scheduler.WithEstimator(owner.lengths),
		scheduler.WithPolicy(owner.policy),
	}
	owned := &ownedShard{shard: shard, ledger: newLedger()}
	if owner.policy == scheduler.ServiceLevels {
		owned.limiter = limiter.New()
		options = append(options, scheduler.WithLimiter(owned.limiter))
	}
	owned.scheduler = scheduler.New(shard, owner.self, options...)
	return owned
}
