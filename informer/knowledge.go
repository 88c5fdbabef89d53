package informer

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

const (
	// maxUpstreams, maxPeers and maxVersions limit the entries of a kind in one message. 128
	// upstreams take some 12 KB, so that a group of 16 nodes that have no entries yet
	// uses 0.2 MB of its aggregator's link in an interval. The list of nodes is sent in
	// one message (390 nodes take some 20 KB), since a node without it can report to
	// nobody.
	maxUpstreams = 128
	maxPeers     = 512
	maxVersions  = 128
	// maxSmallNews limits the entries of a kind in a small message. It covers what
	// changes in an interval, also while nodes or upstreams are being replaced in turn.
	maxSmallNews = 16
)

// knowledge is this node's copy of the store's lists of upstreams and nodes, whether it
// comes from the store or from peers.
type knowledge struct {
	upstreams *replica[messenger.UpstreamEntry]
	peers     *replica[messenger.PeerEntry]
	// evacuations stays empty where operators cannot order evacuations.
	evacuations *replica[messenger.EvacuationEntry]
	// versions stays empty where the store keeps no software versions.
	versions *replica[messenger.VersionEntry]
	// version returns the version of the configuration in force.
	version func() uint64
	// current returns up to when the copy was current; learnCurrent is called with such a
	// time that a peer has confirmed.
	current      func() time.Time
	learnCurrent func(at time.Time)
	// answered returns when the store last answered any node; learnAnswered is called with such a time that a
	// peer has told.
	answered      func() time.Time
	learnAnswered func(at time.Time)
}

// newKnowledge returns an empty knowledge that passes changes on to the informer's
// registrar, exchanger and confiner.
func newKnowledge(informer *Informer) *knowledge {
	return &knowledge{
		upstreams: newUpstreamReplica(informer),
		peers:     newReplica("peers", informer.log, informer.applyPeers),

		evacuations: newReplica("evacuations", informer.log, informer.applyEvacuations),
		versions:    newReplica("versions", informer.log, informer.applyVersions),

		version:      informer.version,
		current:      informer.CopyCurrent,
		learnCurrent: informer.freshness.learn,

		answered:      informer.silence.lastAnswer,
		learnAnswered: informer.learnAnswered,
	}
}

// knownUpstreams returns the revision up to which all upstreams are known; 0 if none
// are.
func (knowledge *knowledge) knownUpstreams() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.upstreams.chronicler.Known()
}

// knownPeers returns the revision up to which all nodes are known; 0 if none are.
func (knowledge *knowledge) knownPeers() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.peers.chronicler.Known()
}

// knownEvacuations returns the revision up to which all evacuations are known; 0 if none
// are.
func (knowledge *knowledge) knownEvacuations() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.evacuations.chronicler.Known()
}

// knownVersions returns the revision up to which all entries of software versions are known; 0 if none
// are.
func (knowledge *knowledge) knownVersions() uint64 {
	if knowledge == nil {
		return 0
	}
	return knowledge.versions.chronicler.Known()
}

// Positions returns the revisions up to which this node knows the entries of each kind.
func (knowledge *knowledge) Positions() messenger.Positions {
	return messenger.Positions{
		Upstreams: knowledge.upstreams.chronicler.Position(),
		Peers:     knowledge.peers.chronicler.Position(),

		Evacuations: knowledge.evacuations.chronicler.Position(),
		Versions:    knowledge.versions.chronicler.Position(),
	}
}

// MissingEntries returns the entries that a node at the positions lacks, or nil if it lacks none.
func (knowledge *knowledge) MissingEntries(positions messenger.Positions, size exchanger.NewsSize) *messenger.News {
	upstreams, peers, versions := maxUpstreams, maxPeers, maxVersions
	if size == exchanger.SmallNews {
		upstreams, peers, versions = maxSmallNews, maxSmallNews, maxSmallNews
	}
	news := &messenger.News{
		Upstreams: knowledge.upstreams.since(positions.Upstreams, upstreams),
		Peers:     knowledge.peers.since(positions.Peers, peers),

		Evacuations: knowledge.evacuations.since(positions.Evacuations, maxSmallNews),
		Versions:    knowledge.versions.since(positions.Versions, versions),
	}
	if news.Upstreams == nil && news.Peers == nil && news.Evacuations == nil && news.Versions == nil {
		return nil
	}
	return news
}

// compare compares the copy with that of a peer whose positions are given.
func (knowledge *knowledge) compare(from definer.VM, positions *messenger.Positions) {
	knowledge.upstreams.compare(from, positions.Upstreams)
	knowledge.peers.compare(from, positions.Peers)
	knowledge.evacuations.compare(from, positions.Evacuations)
	knowledge.versions.compare(from, positions.Versions)
}

// Contradictions returns how often, since the start, a list or a peer had entries that this node's copy lacked although
// it claimed to have all changes.
func (informer *Informer) Contradictions() int {
	copies := informer.copies
	return int(copies.upstreams.contradictions.Load() + copies.peers.contradictions.Load() +
		copies.evacuations.contradictions.Load() + copies.versions.contradictions.Load())
}

// Apply applies the entries that a peer sent.
func (knowledge *knowledge) Apply(from definer.VM, news *messenger.News) {
	knowledge.upstreams.applyExcerpt(from, news.Upstreams)
	knowledge.peers.applyExcerpt(from, news.Peers)
	knowledge.evacuations.applyExcerpt(from, news.Evacuations)
	knowledge.versions.applyExcerpt(from, news.Versions)
}

// applyUpstreams applies changes of the upstreams to the registrar.
func (informer *Informer) applyUpstreams(reading chronicler.Reading[messenger.UpstreamEntry], from definer.VM) {
	now := time.Now()
	if reading.Full {
		list := make([]registrar.Upstream, 0, len(reading.All))
		for _, record := range reading.All {
			list = append(list, upstreamOf(record))
		}
		informer.publishChanges(informer.registrar.Replace(now, list, time.Time{}), "listed", from)
	}
	// Consecutive records with the same value of Doubted are applied in one call, since
	// each call sorts all upstreams again.
	for _, run := range groupByDoubted(reading.Records) {
		var backUntil time.Time
		if run[0].Doubted {
			backUntil = informer.backUntil(now)
		}
		changes := make([]registrar.Change, 0, len(run))
		for _, record := range run {
			if record.Removed && now.Before(backUntil) {
				informer.log(logger.EventUpstreamMissing, "upstream", record.Name, "from", from, "forMs", backUntil.Sub(now).Milliseconds(),
					"copyAgeMs", informer.CopyAge(now).Milliseconds(), "answeredMs", now.Sub(informer.silence.lastAnswer()).Milliseconds(), "revision", record.Revision)
			}
			changes = append(changes, registrar.Change{Upstream: upstreamOf(record), Removed: record.Removed})
		}
		informer.publishChanges(informer.registrar.Apply(now, changes, backUntil), "watched", from)
	}
}

// groupByDoubted splits records into runs of consecutive records with the same value of
// Doubted.
func groupByDoubted[Entry any](records []chronicler.Record[Entry]) [][]chronicler.Record[Entry] {
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

// applyPeers applies changes of the nodes to the exchanger.
func (informer *Informer) applyPeers(reading chronicler.Reading[messenger.PeerEntry], _ definer.VM) {
	if reading.Full {
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

func peerOf(record chronicler.Record[messenger.PeerEntry]) exchanger.Peer {
	return exchanger.Peer{
		VM:         definer.VM(record.Name),
		DataCentre: record.Entry.DataCentre,
		Address:    record.Entry.Address,
		Link:       record.Entry.Link,
		Revision:   record.LastWrite(),
	}
}

func peerRecord(peer exchanger.Peer) chronicler.Record[messenger.PeerEntry] {
	return chronicler.Record[messenger.PeerEntry]{
		Name:     string(peer.VM),
		Revision: peer.Revision,
		Entry:    messenger.PeerEntry{DataCentre: peer.DataCentre, Address: peer.Address, Link: peer.Link},
	}
}

func peerChangeRecord(change exchanger.PeerChange) chronicler.Record[messenger.PeerEntry] {
	record := peerRecord(change.Peer)
	record.Removed = change.Removed
	return record
}
