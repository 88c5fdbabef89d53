package decider

import (
	"math"
	"slices"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

const (
	// configurationBranches is how many peers a node tells of a new version in
	// a fixed tree over its data centre's members.
	configurationBranches = 2
	// notRanked is behind any rank.
	notRanked = math.MaxInt
	// rememberedListings is for how many versions back a peer gets only the
	// differing part of the list of sections.
	rememberedListings = 16
	// crossCompare is one in how many ticks also compares with a member of
	// another data centre that is no holder, in case the holders are dead.
	crossCompare = 8
)

// configurationShard is what the members of a data centre are ranked by.
func configurationShard(dataCentre definer.DataCentre) messenger.Shard {
	return messenger.Shard{DataCentre: dataCentre, Pool: configurerPart}
}

// view is what the configurer needs of the members. It stands until they change.
type view struct {
	// line holds all members of this node's data centre in an order that all of
	// them agree on, those that may hold the watches first.
	line []definer.VM
	// rank is this node's place among those that may hold the watches; it is
	// notRanked if it may not.
	rank int
	// elsewhere holds those that may in each other data centre, by rank.
	elsewhere [][]definer.VM
}

// members returns the present view.
func (configurer *configurer) members() *view {
	if configurer.view != nil {
		return configurer.view
	}
	ranked := configurer.roster.ranked(configurationShard(configurer.dataCentre))
	view := &view{line: slices.Clone(ranked), rank: notRanked}
	if index := slices.Index(ranked, configurer.self.VM); index >= 0 {
		view.rank = index
	}
	for _, vm := range configurer.roster.peers(configurer.dataCentre) {
		if !slices.Contains(ranked, vm) {
			view.line = append(view.line, vm)
		}
	}
	for _, dataCentre := range configurer.roster.dataCentres() {
		ranked := configurer.roster.ranked(configurationShard(dataCentre))
		if dataCentre != configurer.dataCentre && len(ranked) > 0 {
			view.elsewhere = append(view.elsewhere, ranked)
		}
	}
	configurer.view = view
	return view
}

// spread tells a few peers of the version in force: the next ones in the tree,
// one at random in case of a gap in the tree, and, from a holder of the
// watches, one holder in each other data centre. What this misses, compare
// finds.
func (configurer *configurer) spread() {
	view := configurer.members()
	own := slices.Index(view.line, configurer.self.VM)
	first := configurationBranches*own + 1
	for index := first; own >= 0 && index < first+configurationBranches && index < len(view.line); index++ {
		configurer.announce(view.line[index])
	}
	if peer, ok := configurer.any(view.line); ok {
		configurer.announce(peer)
	}
	if view.rank < configurationHolders {
		for _, ranked := range view.elsewhere {
			configurer.announce(ranked[min(view.rank, len(ranked)-1)])
		}
	}
}

func (configurer *configurer) announce(to definer.VM) {
	configurer.send(to, &messenger.ConfigurationAnnounce{Version: configurer.head.Version, Digest: configurer.digest})
}

// any returns a member of the list at random, not this node.
func (configurer *configurer) any(vms []definer.VM) (definer.VM, bool) {
	others := slices.DeleteFunc(slices.Clone(vms), func(vm definer.VM) bool { return vm == configurer.self.VM })
	if len(others) == 0 {
		return "", false
	}
	return others[configurer.random.IntN(len(others))], true
}

// compare tells a peer at random what is in force here; the one that is behind
// then fetches. Holders of the watches do so across data centres as well, the
// others now and then.
func (configurer *configurer) compare() {
	view := configurer.members()
	if peer, ok := configurer.any(view.line); ok {
		configurer.ask(peer, nil, 0)
	}
	if view.rank >= configurationHolders && configurer.random.IntN(crossCompare) > 0 {
		return
	}
	if peer, ok := configurer.any(slices.Concat(view.elsewhere...)); ok {
		configurer.ask(peer, nil, 0)
	}
}

// receive takes in what a peer says of its configuration.
func (configurer *configurer) receive(event MessageReceived) {
	if event.From.VM == configurer.self.VM {
		return
	}
	configurer.heard = configurer.now
	switch message := event.Message.(type) {
	case *messenger.Heartbeat:
		configurer.learn(event.From.VM, message.Configuration, "")
	case *messenger.HeartbeatAnswer:
		configurer.learn(event.From.VM, message.Configuration, "")
	case *messenger.ConfigurationAnnounce:
		configurer.learn(event.From.VM, message.Version, message.Digest)
	case *messenger.ConfigurationAsk:
		configurer.learn(event.From.VM, message.Version, message.Digest)
		if message.Version < configurer.head.Version {
			configurer.send(event.From.VM, configurer.answer(message))
		}
	case *messenger.ConfigurationAnswer:
		configurer.answered(event.From.VM, message)
	}
}

// remember keeps the lists of the latest versions in force.
func (configurer *configurer) remember(listing listing) {
	configurer.earlier = append(configurer.earlier, listing)
	if surplus := len(configurer.earlier) - rememberedListings; surplus > 0 {
		configurer.earlier = slices.Clone(configurer.earlier[surplus:])
	}
}

// answer tells an asker how the list of sections differs from its own, and adds
// as many of the sections it wants as fit.
func (configurer *configurer) answer(ask *messenger.ConfigurationAsk) *messenger.ConfigurationAnswer {
	answer := &messenger.ConfigurationAnswer{Version: configurer.head.Version, Digest: configurer.digest, Changed: configurer.head.Sections}
	for _, listing := range configurer.earlier {
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
