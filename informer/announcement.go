package informer

import (
	"context"
	"time"

	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/timer"
)

const (
	// announcePause is the time between two tries to write this node's entry;
	// announceTimeout and longestAnnounce bound each, which may take twice as long as
	// the one before: an answer that was lost never comes, and one that takes longer
	// than a bound must come within the next.
	announcePause   = time.Second
	announceTimeout = 2 * time.Second
	longestAnnounce = 20 * time.Second
	// withdrawTimeout bounds removing this node's entry at a planned stop.
	withdrawTimeout = 300 * time.Millisecond
)

// announce writes this node's entry, so that peers find it; it tries again until
// that is done.
func (informer *Informer) announce(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := informer.announceWithin(ctx, timer.Doubled(announceTimeout, longestAnnounce, tries))
		if err == nil {
			return
		}
		informer.log(logger.EventStoreAway, "feed", "announce", "failures", tries+1, "cause", err)
		_ = timer.Sleep(ctx, announcePause) // The loop sees the context end.
	}
}

func (informer *Informer) announceWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(follower.WithReason(ctx, follower.Announcing), limit)
	defer cancel()
	return informer.peerList.Announce(ctx, informer.self)
}

// Withdraw removes this node's entry; a failure leaves it there, which costs
// peers a message now and then.
func (informer *Informer) Withdraw() {
	ctx, cancel := context.WithTimeout(follower.WithReason(context.Background(), follower.Announcing), withdrawTimeout)
	defer cancel()
	if err := informer.peerList.Withdraw(ctx, informer.self.VM); err != nil {
		informer.log(logger.EventStoreAway, "feed", "withdraw", "cause", err)
	}
}
