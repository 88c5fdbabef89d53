package informer

import (
	"context"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/timer"
)

// link is one node's way to the store and to the other nodes.
type link struct {
	world *world
	self  definer.Member
}

// Send delivers a message to a peer after its way, unless it is lost.
func (link link) Send(_ context.Context, address string, message messenger.Message) {
	world := link.world
	to := definer.VM(address)
	world.mutex.Lock()
	world.messages++
	if report, ok := message.(*messenger.LoadReport); ok && link.self.VM[0] != to[0] {
		world.crossing += told(report.News)
	}
	lost := world.severed(link.self.VM, to) || world.random.Float64() < world.loss
	world.mutex.Unlock()
	if lost {
		return
	}
	time.AfterFunc(wayTime, func() {
		world.mutex.Lock()
		node, runs := world.nodes[to]
		runs = runs && !world.severed(link.self.VM, to)
		world.mutex.Unlock()
		if runs {
			node.informer.Receive(link.self, definer.DataCentre(link.self.VM[:1]), message)
		}
	})
}

// told returns how many entries are told.
func told(news *messenger.News) (entries int) {
	if news != nil && news.Upstreams != nil {
		entries += len(news.Upstreams.Records)
	}
	if news != nil && news.Peers != nil {
		entries += len(news.Peers.Records)
	}
	return entries
}

// enter counts a call and returns when the store answers it; the error says that it does
// not.
func (link link) enter(ctx context.Context) error {
	world := link.world
	price := 1.0
	if follower.IsStale(ctx) {
		price = 0.1
	}
	world.mutex.Lock()
	world.calls[follower.ReasonOf(ctx)] += price
	reach := world.reaches[link.self.VM]
	world.mutex.Unlock()
	switch reach {
	case turnedAway:
		return follower.Fail("call", follower.Rejected, "turned away")
	case cut:
		<-ctx.Done()
		return follower.Fail("call", follower.Lost, "%w", ctx.Err())
	case served:
	}
	if err := timer.Sleep(ctx, answerTime); err != nil {
		return follower.Fail("call", follower.Lost, "%w", err)
	}
	return nil
}

// listOf returns the entries of a kind and the revision that the list tells.
func listOf[Entry any](ctx context.Context, link link, table *table[Entry]) ([]change[Entry], uint64, error) {
	if err := link.enter(ctx); err != nil {
		return nil, 0, err
	}
	world := link.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	at, revision := time.Now(), world.revision
	if follower.IsStale(ctx) {
		at = at.Add(-staleness)
	}
	entries, last := table.at(at)
	if follower.IsStale(ctx) {
		revision = last
	}
	return slices.SortedFunc(maps.Values(entries), func(left, right change[Entry]) int { return int(left.revision) - int(right.revision) }), revision, nil
}

// watchOf returns the changes of a kind after a revision as soon as there are any, or none
// after the wait. Removals bear the revision of the entry's last writing.
func watchOf[Entry any](ctx context.Context, link link, table *table[Entry], revision uint64, wait time.Duration) ([]change[Entry], uint64, error) {
	if err := link.enter(ctx); err != nil {
		return nil, 0, err
	}
	world := link.world
	over := time.After(wait)
	for waiting := true; ; {
		world.mutex.Lock()
		changes := slices.Clone(table.changes)
		current, changed, forgotten, reach := world.revision, world.changed, world.forgotten, world.reaches[link.self.VM]
		world.mutex.Unlock()
		if reach != served {
			return nil, 0, follower.Fail("watch", follower.Lost, "broken off")
		}
		if revision < forgotten {
			return nil, 0, follower.Fail("watch", follower.Gone, "forgotten")
		}
		changes = slices.DeleteFunc(changes, func(change change[Entry]) bool { return change.revision <= revision })
		if len(changes) > 0 || !waiting {
			return changes, current, nil
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-ctx.Done():
			return nil, 0, follower.Fail("watch", follower.Lost, "%w", ctx.Err())
		}
	}
}

type configurationFeed struct{ link link }

func (feed configurationFeed) List(ctx context.Context) ([]router.Definition, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.world.configurations)
	return definitions(changes), revision, err
}

func (feed configurationFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]router.Definition, uint64, error) {
	changes, revision, err := watchOf(ctx, feed.link, &feed.link.world.configurations, revision, wait)
	return definitions(changes), revision, err
}

func definitions(changes []change[uint64]) []router.Definition {
	return each(changes, func(change change[uint64]) router.Definition { return router.Definition{Version: change.entry} })
}

// each returns what each of a list becomes.
func each[From, To any](list []From, become func(From) To) []To {
	became := make([]To, 0, len(list))
	for _, from := range list {
		became = append(became, become(from))
	}
	return became
}

type upstreamFeed struct{ link link }

func (feed upstreamFeed) List(ctx context.Context) ([]registrar.Upstream, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.world.upstreams)
	return each(changes, upstreamIn), revision, err
}

func (feed upstreamFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]registrar.Change, uint64, error) {
	changes, revision, err := watchOf(ctx, feed.link, &feed.link.world.upstreams, revision, wait)
	return each(changes, func(change change[registrar.Upstream]) registrar.Change {
		return registrar.Change{Upstream: upstreamIn(change), Removed: change.removed}
	}), revision, err
}

func upstreamIn(change change[registrar.Upstream]) registrar.Upstream {
	upstream := change.entry
	upstream.ID, upstream.Revision = definer.UpstreamName(change.name), change.revision
	if change.removed {
		upstream.Revision = 1 // The store may tell that of an earlier writing.
	}
	return upstream
}

type peerFeed struct{ link link }

func (feed peerFeed) List(ctx context.Context) ([]exchanger.Peer, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.world.peers)
	return each(changes, peerIn), revision, err
}

func (feed peerFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]exchanger.PeerChange, uint64, error) {
	changes, revision, err := watchOf(ctx, feed.link, &feed.link.world.peers, revision, wait)
	return each(changes, func(change change[exchanger.Peer]) exchanger.PeerChange {
		return exchanger.PeerChange{Peer: peerIn(change), Removed: change.removed}
	}), revision, err
}

func peerIn(change change[exchanger.Peer]) exchanger.Peer {
	peer := change.entry
	peer.VM, peer.Revision = definer.VM(change.name), change.revision
	return peer
}

// Announce writes a node's entry.
func (feed peerFeed) Announce(ctx context.Context, peer exchanger.Peer) error {
	if err := feed.link.enter(ctx); err != nil {
		return err
	}
	world := feed.link.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	write(world, &world.peers, string(peer.VM), false, peer)
	return nil
}

// Withdraw removes a node's entry.
func (feed peerFeed) Withdraw(ctx context.Context, vm definer.VM) error {
	if err := feed.link.enter(ctx); err != nil {
		return err
	}
	world := feed.link.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	write(world, &world.peers, string(vm), true, exchanger.Peer{})
	return nil
}
