package informer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/timer"
)

// link connects one node to the simulated store and to the other nodes.
type link struct {
	cluster *cluster
	self    definer.Member
}

// Send delivers a message to a peer after messageDelay, unless it is lost.
func (link link) Send(_ context.Context, address string, message messenger.Message) {
	cluster := link.cluster
	to := definer.VM(address)
	cluster.mutex.Lock()
	cluster.messages++
	if report, ok := message.(*messenger.LoadReport); ok && link.self.VM[0] != to[0] {
		cluster.crossingEntries += countEntries(report.News)
	}
	_, part := message.(*messenger.DefinitionPart)
	lost := cluster.partitioned(link.self.VM, to) || cluster.random.Float64() < cluster.loss || part && cluster.withholds
	cluster.mutex.Unlock()
	if lost {
		return
	}
	time.AfterFunc(messageDelay, func() {
		cluster.mutex.Lock()
		node, runs := cluster.nodes[to]
		runs = runs && !cluster.partitioned(link.self.VM, to)
		cluster.mutex.Unlock()
		if runs {
			node.informer.Receive(link.self, definer.DataCentre(link.self.VM[:1]), message)
		}
	})
}

// countEntries returns how many entries the news carries.
func countEntries(news *messenger.News) (entries int) {
	if news != nil && news.Upstreams != nil {
		entries += len(news.Upstreams.Records)
	}
	if news != nil && news.Peers != nil {
		entries += len(news.Peers.Records)
	}
	return entries
}

// call counts a call to the store and waits for its answer; the error says why there is
// none.
func (link link) call(ctx context.Context) error {
	cluster := link.cluster
	cost := 1.0
	if follower.IsStale(ctx) {
		cost = 0.1
	}
	cluster.mutex.Lock()
	cluster.calls[follower.ReasonOf(ctx)] += cost
	reachability := cluster.reaches[link.self.VM]
	cluster.mutex.Unlock()
	switch reachability {
	case rejected:
		return follower.Fail("call", follower.Rejected, "the store rejected the call")
	case unreachable:
		<-ctx.Done()
		return follower.Fail("call", follower.Lost, "%w", ctx.Err())
	case served:
	}
	if err := timer.Sleep(ctx, storeDelay); err != nil {
		return follower.Fail("call", follower.Lost, "%w", err)
	}
	return nil
}

// deliver returns once an answer reaches the node, which had lost the given number of times the
// answers to its open calls when it made the call. An answer that is lost never does.
func (link link) deliver(ctx context.Context, lost int) error {
	if lost != link.countLost() {
		<-ctx.Done()
		return follower.Fail("call", follower.Lost, "%w", ctx.Err())
	}
	return nil
}

// countLost returns how often the answers to the node's open calls were lost.
func (link link) countLost() int {
	link.cluster.mutex.Lock()
	defer link.cluster.mutex.Unlock()
	return link.cluster.lostAnswers[link.self.VM]
}

// listOf returns the entries of a kind and the revision of the list.
func listOf[Entry any](ctx context.Context, link link, table *table[Entry]) ([]change[Entry], uint64, error) {
	lost := link.countLost()
	if err := link.call(ctx); err != nil {
		return nil, 0, err
	}
	if err := link.deliver(ctx, lost); err != nil {
		return nil, 0, err
	}
	cluster := link.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	at, revision := time.Now(), cluster.revision
	if follower.IsStale(ctx) {
		at = at.Add(-staleness)
	}
	entries, last := table.at(at)
	if follower.IsStale(ctx) {
		revision = last
	}
	return slices.SortedFunc(maps.Values(entries), func(left, right change[Entry]) int { return int(left.revision) - int(right.revision) }), revision, nil
}

// watchOf returns the changes of a kind after a revision as soon as there are any, or
// none after the wait. Removals carry the revision of the entry's last write.
func watchOf[Entry any](ctx context.Context, link link, table *table[Entry], revision uint64, wait time.Duration) ([]change[Entry], follower.Revisions, error) {
	lost := link.countLost()
	if err := link.call(ctx); err != nil {
		return nil, follower.Revisions{}, err
	}
	cluster := link.cluster
	timeout := time.After(wait)
	for waiting := true; ; {
		cluster.mutex.Lock()
		changes := table.heardAfter(revision)
		current, changed, forgotten, reachability := cluster.revision, cluster.changed, cluster.droppedUpTo, cluster.reaches[link.self.VM]
		fault := cluster.watchFaults[link.self.VM]
		cluster.mutex.Unlock()
		if err := fault.fail(ctx); err != nil {
			return nil, follower.Revisions{}, err
		}
		if reachability == rejected {
			return nil, follower.Revisions{}, follower.Fail("watch", follower.Rejected, "the store rejected the node during the watch")
		}
		if revision < forgotten {
			return nil, follower.Revisions{}, follower.Fail("watch", follower.Gone, "the revision precedes the history of the store")
		}
		if len(changes) > 0 || !waiting {
			return changes, follower.Revisions{Changed: len(changes) > 0, Newest: newestOf(changes), Current: current}, link.deliver(ctx, lost)
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, follower.Revisions{}, follower.Fail("watch", follower.Lost, "%w", ctx.Err())
		}
	}
}

// newestOf returns the highest revision among changes as the store reports it.
func newestOf[Entry any](changes []change[Entry]) (newest uint64) {
	for _, change := range changes {
		newest = max(newest, change.reported())
	}
	return newest
}

// reported returns the revision of a change as the store reports it: that of a removal may be the one of an earlier
// write.
func (change change[Entry]) reported() uint64 {
	if change.removed {
		return 1
	}
	return change.revision
}

// fail returns the error of a watch; nil if it is answered.
func (watchFault watchFault) fail(ctx context.Context) error {
	switch watchFault {
	case watchesServed:
		return nil
	case watchesCut:
		return follower.Fail("watch", follower.Lost, "the connection was reset")
	case watchesHang:
		<-ctx.Done()
	}
	return follower.Fail("watch", follower.Lost, "%w", ctx.Err())
}

type configurationFeed struct{ link link }

func (feed configurationFeed) List(ctx context.Context) ([]router.Definition, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.cluster.configurations)
	return feed.definitions(changes), revision, err
}

func (feed configurationFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]router.Definition, follower.Revisions, error) {
	changes, revisions, err := watchOf(ctx, feed.link, &feed.link.cluster.configurations, revision, wait)
	revisions.Complete = revisions.Newest // Each configuration replaces those before it.
	return feed.definitions(changes), revisions, err
}

// definitions returns the versions of the configuration, each with a rule for streams of each service.
func (feed configurationFeed) definitions(changes []change[uint64]) []router.Definition {
	return mapEach(changes, func(change change[uint64]) router.Definition {
		definition := router.Definition{Version: change.entry}
		for number := range feed.link.cluster.services {
			service := serviceName(number)
			definition.Services = append(definition.Services, router.Service{Name: service})
			definition.Rules = append(definition.Rules, router.Rule{
				Name: string(service), PathPrefix: "/" + string(service) + "/", Streamed: true, MaxAttempts: 1, Targets: []router.Target{{Service: service, Weight: 1}},
			})
		}
		return definition
	})
}

// serviceName returns the name of a service; that of the first is pool.
func serviceName(number int) definer.PoolName {
	if number == 0 {
		return pool
	}
	return definer.PoolName(fmt.Sprintf("pool-%d", number))
}

// mapEach returns the results of convert for each element of a list.
func mapEach[From, To any](list []From, convert func(From) To) []To {
	converted := make([]To, 0, len(list))
	for _, from := range list {
		converted = append(converted, convert(from))
	}
	return converted
}

type upstreamFeed struct{ link link }

func (feed upstreamFeed) List(ctx context.Context) ([]registrar.Upstream, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.cluster.upstreams)
	return mapEach(changes, upstreamIn), revision, err
}

func (feed upstreamFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]registrar.Change, follower.Revisions, error) {
	changes, revisions, err := watchOf(ctx, feed.link, &feed.link.cluster.upstreams, revision, wait)
	return mapEach(changes, func(change change[registrar.Upstream]) registrar.Change {
		return registrar.Change{Upstream: upstreamIn(change), Removed: change.removed}
	}), revisions, err
}

func upstreamIn(change change[registrar.Upstream]) registrar.Upstream {
	upstream := change.entry
	upstream.ID, upstream.Revision = definer.UpstreamName(change.name), change.reported()
	return upstream
}

type peerFeed struct{ link link }

func (feed peerFeed) List(ctx context.Context) ([]exchanger.Peer, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.cluster.peers)
	return mapEach(changes, peerIn), revision, err
}

func (feed peerFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]exchanger.PeerChange, follower.Revisions, error) {
	changes, revisions, err := watchOf(ctx, feed.link, &feed.link.cluster.peers, revision, wait)
	return mapEach(changes, func(change change[exchanger.Peer]) exchanger.PeerChange {
		return exchanger.PeerChange{Peer: peerIn(change), Removed: change.removed}
	}), revisions, err
}

func peerIn(change change[exchanger.Peer]) exchanger.Peer {
	peer := change.entry
	peer.VM, peer.Revision = definer.VM(change.name), change.revision
	return peer
}

type evacuationFeed struct{ link link }

func (feed evacuationFeed) List(ctx context.Context) ([]confiner.Evacuation, uint64, error) {
	changes, revision, err := listOf(ctx, feed.link, &feed.link.cluster.evacuations)
	return mapEach(changes, evacuationIn), revision, err
}

func (feed evacuationFeed) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]confiner.Change, follower.Revisions, error) {
	changes, revisions, err := watchOf(ctx, feed.link, &feed.link.cluster.evacuations, revision, wait)
	return mapEach(changes, func(change change[definer.DataCentre]) confiner.Change {
		return confiner.Change{Evacuation: evacuationIn(change), Removed: change.removed}
	}), revisions, err
}

func evacuationIn(change change[definer.DataCentre]) confiner.Evacuation {
	return confiner.Evacuation{DataCentre: definer.DataCentre(change.name), Revision: change.revision}
}

// Announce writes the entry of a node.
func (feed peerFeed) Announce(ctx context.Context, peer exchanger.Peer) error {
	if err := feed.link.call(ctx); err != nil {
		return err
	}
	cluster := feed.link.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	write(cluster, &cluster.peers, string(peer.VM), false, peer)
	return nil
}

// Withdraw removes the entry of a node.
func (feed peerFeed) Withdraw(ctx context.Context, vm definer.VM) error {
	if err := feed.link.call(ctx); err != nil {
		return err
	}
	cluster := feed.link.cluster
	remove := func() {
		cluster.mutex.Lock()
		defer cluster.mutex.Unlock()
		write(cluster, &cluster.peers, string(vm), true, exchanger.Peer{})
	}
	if cluster.withdrawalDelay > 0 {
		time.AfterFunc(cluster.withdrawalDelay, remove)
		<-ctx.Done()
		return follower.Fail("withdraw", follower.Lost, "%w", ctx.Err())
	}
	remove()
	return nil
}
