package informer

import (
	"context"
	"time"

	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/timer"
)

const (
	// announceRetryDelay is the delay between two attempts to write this node's entry.
	// The timeout of an attempt starts at announceTimeout and doubles up to
	// maxAnnounceTimeout: a lost answer never arrives, and an answer that is slower than
	// one timeout has to arrive within the next.
	announceRetryDelay = time.Second
	announceTimeout    = 2 * time.Second
	maxAnnounceTimeout = 20 * time.Second
	// announceCheck is how long after its entry was written a node checks that it is listed, and the interval
	// of the next checks. The list is up to peerWait old.
	announceCheck = time.Minute
	// withdrawTimeout limits the removal of this node's entry at a planned stop.
	withdrawTimeout = 300 * time.Millisecond
)

// announce writes this node's entry, by which peers find it, and writes it again when it is not listed any more: the
// store may execute a removal or a write of an earlier process late.
func (informer *Informer) announce(ctx context.Context) {
	informer.announceOnce(ctx)
	for timer.Sleep(ctx, announceCheck) == nil {
		if informer.exchanger.IsUnlisted() {
			informer.announceOnce(ctx)
		}
	}
}

// announceOnce writes this node's entry, and retries until that succeeds.
func (informer *Informer) announceOnce(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := informer.announceWithin(ctx, timer.Doubled(announceTimeout, maxAnnounceTimeout, tries))
		if err == nil {
			return
		}
		informer.log(logger.EventStoreAway, "feed", "announce", "failures", tries+1, "cause", err)
		_ = timer.Sleep(ctx, announceRetryDelay) // The loop condition checks the context.
	}
}

func (informer *Informer) announceWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(follower.WithReason(ctx, follower.Announcing), limit)
	defer cancel()
	return informer.peerList.Announce(ctx, informer.self)
}

// Withdraw removes this node's entry. If that fails the entry stays, at the cost of an
// occasional message from peers to a node that is gone.
func (informer *Informer) Withdraw() {
	ctx, cancel := context.WithTimeout(follower.WithReason(context.Background(), follower.Announcing), withdrawTimeout)
	defer cancel()
	if err := informer.peerList.Withdraw(ctx, informer.self.VM); err != nil {
		informer.log(logger.EventStoreAway, "feed", "withdraw", "cause", err)
	}
}
