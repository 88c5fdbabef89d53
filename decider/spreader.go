package decider

import (
	"slices"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

const (
	// announceFanout is how many peers a node announces a new version to in a
	// fixed tree over the members of its data centre.
	announceFanout = 2
	// maxListings is for how many versions back a peer is sent only the
	// difference between the lists of sections.
	maxListings = 16
	// remoteCompareTicks is the average number of ticks between two comparisons
	// with another data centre by a node that does not watch the platform. They
	// cover the case that all members that watch it are dead.
	remoteCompareTicks = 8
)

// configurationShard returns the key by which the members of a data centre are
// ranked for watching the platform.
func configurationShard(dataCentre definer.DataCentre) messenger.Shard {
	return messenger.Shard{DataCentre: dataCentre, Pool: configurerComponent}
}

// view is the configurer's view of the members, valid until they change.
type view struct {
	// order holds all members of this node's data centre in an order that is
	// the same on all of them; the members that may watch the platform come
	// first.
	order []definer.VM
	// rank is this node's position among the members that may watch the
	// platform.
	rank int
	// remote holds, for each other data centre, its members that may watch the
	// platform, by rank.
	remote [][]definer.VM
}

// members returns the present view.
func (configurer *configurer) members() *view {
	if configurer.view != nil {
		return configurer.view
	}
	ranked := configurer.roster.ranked(configurationShard(configurer.dataCentre))
	view := &view{order: slices.Clone(ranked), rank: len(ranked)}
	if index := slices.Index(ranked, configurer.self.VM); index >= 0 {
		view.rank = index
	}
	view.rank += configurer.unseenAhead()
	for _, vm := range configurer.roster.peers(configurer.dataCentre) {
		if !slices.Contains(ranked, vm) {
			view.order = append(view.order, vm)
		}
	}
	for _, dataCentre := range configurer.roster.dataCentres() {
		ranked := configurer.roster.ranked(configurationShard(dataCentre))
		if dataCentre != configurer.dataCentre && len(ranked) > 0 {
			view.remote = append(view.remote, ranked)
		}
	}
	configurer.view = view
	return view
}

// unseenAhead returns how many listed VMs would rank before this node. In the
// first seconds after its start a node counts them as alive: when all nodes
// start at once, each knows few others, and too many would watch the platform.
func (configurer *configurer) unseenAhead() int {
	if configurer.now.Sub(configurer.startedAt) >= bootstrapFor {
		return 0
	}
	return configurer.roster.unseenAhead(configurationShard(configurer.dataCentre))
}

// announceToPeers announces the version in force to a few peers: the next ones
// in the tree, a random one in case of a gap in the tree, and, if this node
// watches the platform, one such member in each other data centre. Peers that
// miss the announcement find the version by compareWithPeers.
func (configurer *configurer) announceToPeers() {
	view := configurer.members()
	own := slices.Index(view.order, configurer.self.VM)
	first := announceFanout*own + 1
	for index := first; own >= 0 && index < first+announceFanout && index < len(view.order); index++ {
		configurer.announce(view.order[index])
	}
	if peer, ok := configurer.randomPeer(view.order); ok {
		configurer.announce(peer)
	}
	if view.rank < platformWatchers {
		for _, ranked := range view.remote {
			configurer.announce(ranked[min(view.rank, len(ranked)-1)])
		}
	}
}

func (configurer *configurer) announce(to definer.VM) {
	configurer.send(to, &messenger.ConfigurationAnnounce{Version: configurer.head.Version, Digest: configurer.digest})
}

// randomPeer returns a random member of the list other than this node.
func (configurer *configurer) randomPeer(vms []definer.VM) (definer.VM, bool) {
	others := slices.DeleteFunc(slices.Clone(vms), func(vm definer.VM) bool { return vm == configurer.self.VM })
	if len(others) == 0 {
		return "", false
	}
	return others[configurer.random.IntN(len(others))], true
}

// compareWithPeers sends the version in force to a random peer; whichever of
// the two is behind then fetches it. Members that watch the platform also
// compare across data centres on each tick, the others now and then.
func (configurer *configurer) compareWithPeers() {
	view := configurer.members()
	if peer, ok := configurer.randomPeer(view.order); ok {
		configurer.ask(peer, nil, 0)
	}
	if view.rank >= platformWatchers && configurer.random.IntN(remoteCompareTicks) > 0 {
		return
	}
	if peer, ok := configurer.randomPeer(slices.Concat(view.remote...)); ok {
		configurer.ask(peer, nil, 0)
	}
}

// handleMessage handles what a peer reports about its configuration.
func (configurer *configurer) handleMessage(event MessageReceived) {
	if event.From.VM == configurer.self.VM {
		return
	}
	configurer.lastHeard = configurer.now
	switch message := event.Message.(type) {
	case *messenger.Heartbeat:
		configurer.learnVersion(event.From.VM, message.Configuration, "")
	case *messenger.HeartbeatAnswer:
		configurer.learnVersion(event.From.VM, message.Configuration, "")
	case *messenger.ConfigurationAnnounce:
		configurer.learnVersion(event.From.VM, message.Version, message.Digest)
	case *messenger.ConfigurationAsk:
		configurer.learnVersion(event.From.VM, message.Version, message.Digest)
		if message.Version < configurer.head.Version {
			configurer.send(event.From.VM, configurer.answer(message))
		}
	case *messenger.ConfigurationAnswer:
		configurer.handleAnswer(event.From.VM, message)
	}
}

// rememberListing keeps the section lists of the latest versions in force.
func (configurer *configurer) rememberListing(listing listing) {
	configurer.listings = append(configurer.listings, listing)
	if surplus := len(configurer.listings) - maxListings; surplus > 0 {
		configurer.listings = slices.Clone(configurer.listings[surplus:])
	}
}

// answer returns the difference between the asker's list of sections and the
// one in force, with as many of the wanted sections as fit.
func (configurer *configurer) answer(ask *messenger.ConfigurationAsk) *messenger.ConfigurationAnswer {
	answer := &messenger.ConfigurationAnswer{Version: configurer.head.Version, Digest: configurer.digest, Changed: configurer.head.Sections}
	for _, listing := range configurer.listings {
		if listing.digest == ask.Digest {
			answer.Base = listing.digest
			answer.Changed, answer.Removed = sectioner.Difference(listing.sums, configurer.head.Sections)
		}
	}
	answer.Pieces = configurer.pieces(ask.Hashes, ask.Offset)
	if len(answer.Pieces) > 0 {
		return answer
	}
	var hashes []string
	for _, sum := range answer.Changed {
		hashes = append(hashes, sum.Hash)
	}
	answer.Pieces = configurer.pieces(hashes, 0)
	return answer
}

// pieces returns the contents of sections until the answer is full.
func (configurer *configurer) pieces(hashes []string, offset int) []messenger.Piece {
	var pieces []messenger.Piece
	room := maxAnswerBytes
	for _, hash := range hashes {
		data, ok := configurer.contents[hash]
		if !ok || offset > len(data) || room == 0 {
			offset = 0
			continue
		}
		part := data[offset:min(len(data), offset+room)]
		pieces = append(pieces, messenger.Piece{Hash: hash, Offset: offset, Size: len(data), Data: part})
		room -= len(part)
		offset = 0
	}
	return pieces
}
