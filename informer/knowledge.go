package informer

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

const (
	// mostUpstreams and mostPeers bound the entries told in one message: 128 upstreams are
	// some 12 KB, so that a group of 16 that knows nothing takes 0.2 MB of its aggregator's
	// link an interval; the list of nodes is told in one piece, 390 are some 20 KB, since a
	// node can report to nobody without it.
	mostUpstreams = 128
	mostPeers     = 512
	// mostSmall bounds the entries of a kind in small news: what changes in an interval,
	// also while nodes or upstreams are replaced in turn.
	mostSmall = 16
)

// knowledge is what this node knows of the store's upstreams and nodes, whoever told it.
type knowledge struct {
	upstreams *ledger[messenger.UpstreamEntry]
	peers     *ledger[messenger.PeerEntry]
}

// newKnowledge returns a knowledge of nothing that hands what is new to the informer's parts.
func newKnowledge(informer *Informer) *knowledge {
	return &knowledge{
		upstreams: newLedger(informer.takeUpstreams),
		peers:     newLedger(informer.takePeers),
	}
}

// knownUpstreams returns up to where upstreams are known; 0 is nothing.
func (knowledge *knowledge) knownUpstreams() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.upstreams.chronicler.Known()
}

// knownPeers returns up to where nodes are known; 0 is nothing.
func (knowledge *knowledge) knownPeers() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.peers.chronicler.Known()
}

// Positions tells up to where this node knows the entries.
func (knowledge *knowledge) Positions() messenger.Positions {
	return messenger.Positions{
		Upstreams: knowledge.upstreams.chronicler.Position(),
		Peers:     knowledge.peers.chronicler.Position(),
	}
}

// Since returns what one at the positions lacks, or nil.
func (knowledge *knowledge) Since(positions messenger.Positions, size exchanger.NewsSize) *messenger.News {
	upstreams, peers := mostUpstreams, mostPeers
	if size == exchanger.SmallNews {
		upstreams, peers = mostSmall, mostSmall
	}
	news := &messenger.News{
		Upstreams: knowledge.upstreams.since(positions.Upstreams, upstreams),
		Peers:     knowledge.peers.since(positions.Peers, peers),
	}
	if news.Upstreams == nil && news.Peers == nil {
		return nil
	}
	return news
}

// Take takes in what a peer told.
func (knowledge *knowledge) Take(news *messenger.News) {
	knowledge.upstreams.told(news.Upstreams)
	knowledge.peers.told(news.Peers)
}

// takeUpstreams hands what is new of upstreams to the registrar.
func (informer *Informer) takeUpstreams(reading chronicler.Reading[messenger.UpstreamEntry]) {
	now := time.Now()
	if reading.Whole {
		list := make([]registrar.Upstream, 0, len(reading.All))
		for _, record := range reading.All {
			list = append(list, upstreamOf(record))
		}
		informer.reportChanges(informer.registrar.Replace(now, list, false), "listed")
	}
	// As many as are doubted alike go together: each call sorts all upstreams anew.
	for _, run := range doubtedAlike(reading.Records) {
		changes := make([]registrar.Change, 0, len(run))
		for _, record := range run {
			changes = append(changes, registrar.Change{Upstream: upstreamOf(record), Removed: record.Removed})
		}
		informer.reportChanges(informer.registrar.Apply(now, changes, run[0].Doubted), "watched")
	}
}

// doubtedAlike cuts records into runs that are doubted or not.
func doubtedAlike[Entry any](records []chronicler.Record[Entry]) [][]chronicler.Record[Entry] {
	var runs [][]chronicler.Record[Entry]
	for index, record := range records {
		if index == 0 || record.Doubted != records[index-1].Doubted {
			runs = append(runs, nil)
		}
		last := len(runs) - 1
		runs[last] = append(runs[last], record)
	}
	return runs
}

// takePeers hands what is new of nodes to the exchanger.
func (informer *Informer) takePeers(reading chronicler.Reading[messenger.PeerEntry]) {
	if reading.Whole {
		list := make([]exchanger.Peer, 0, len(reading.All))
		for _, record := range reading.All {
			list = append(list, peerOf(record))
		}
		informer.exchanger.Replace(list)
	}
	var changes []exchanger.PeerChange
	for _, record := range reading.Records {
		changes = append(changes, exchanger.PeerChange{Peer: peerOf(record), Removed: record.Removed})
	}
	if len(changes) > 0 {
		informer.exchanger.Apply(changes)
	}
}

func upstreamOf(record chronicler.Record[messenger.UpstreamEntry]) registrar.Upstream {
	return registrar.Upstream{
		ID:          definer.UpstreamName(record.Name),
		Service:     record.Entry.Service,
		Address:     record.Entry.Address,
		DataCentre:  record.Entry.DataCentre,
		Slots:       record.Entry.Slots,
		Leaving:     record.Entry.Leaving,
		Spot:        record.Entry.Spot,
		Incarnation: record.Entry.Incarnation,
		Revision:    record.Revision,
	}
}

func upstreamRecord(upstream *registrar.Upstream) chronicler.Record[messenger.UpstreamEntry] {
	return chronicler.Record[messenger.UpstreamEntry]{
		Name:     string(upstream.ID),
		Revision: upstream.Revision,
		Entry: messenger.UpstreamEntry{
			Service:     upstream.Service,
			Address:     upstream.Address,
			DataCentre:  upstream.DataCentre,
			Slots:       upstream.Slots,
			Leaving:     upstream.Leaving,
			Spot:        upstream.Spot,
			Incarnation: upstream.Incarnation,
		},
	}
}

func peerOf(record chronicler.Record[messenger.PeerEntry]) exchanger.Peer {
	return exchanger.Peer{
		VM:         definer.VM(record.Name),
		DataCentre: record.Entry.DataCentre,
		Address:    record.Entry.Address,
		Link:       record.Entry.Link,
		Revision:   record.Revision,
	}
}

func peerRecord(peer exchanger.Peer) chronicler.Record[messenger.PeerEntry] {
	return chronicler.Record[messenger.PeerEntry]{
		Name:     string(peer.VM),
		Revision: peer.Revision,
		Entry:    messenger.PeerEntry{DataCentre: peer.DataCentre, Address: peer.Address, Link: peer.Link},
	}
}

// upstreamLedger takes what the store tells of upstreams into the ledger.
type upstreamLedger struct {
	ledger *ledger[messenger.UpstreamEntry]
}

// Replace takes in a whole list.
func (sink upstreamLedger) Replace(list []registrar.Upstream, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.UpstreamEntry], 0, len(list))
	for index := range list {
		records = append(records, upstreamRecord(&list[index]))
	}
	sink.ledger.listed(records, reading.Revision, reading.Outage)
}

// Apply takes in changes.
func (sink upstreamLedger) Apply(changes []registrar.Change, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.UpstreamEntry], 0, len(changes))
	for index := range changes {
		record := upstreamRecord(&changes[index].Upstream)
		record.Removed, record.Doubted = changes[index].Removed, changes[index].Removed && reading.Outage
		records = append(records, record)
	}
	sink.ledger.watched(records, reading.Revision)
}

// peerLedger takes what the store tells of nodes into the ledger.
type peerLedger struct {
	ledger *ledger[messenger.PeerEntry]
}

// Replace takes in a whole list.
func (sink peerLedger) Replace(list []exchanger.Peer, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.PeerEntry], 0, len(list))
	for _, peer := range list {
		records = append(records, peerRecord(peer))
	}
	sink.ledger.listed(records, reading.Revision, false)
}

// Apply takes in changes.
func (sink peerLedger) Apply(changes []exchanger.PeerChange, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.PeerEntry], 0, len(changes))
	for _, change := range changes {
		record := peerRecord(change.Peer)
		record.Removed = change.Removed
		records = append(records, record)
	}
	sink.ledger.watched(records, reading.Revision)
}
