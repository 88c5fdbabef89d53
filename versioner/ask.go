package versioner

import (
	"context"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

const (
	// answerTimeout bounds the wait for the answers of nodes. A round trip takes some milliseconds, and
	// longer where connections have to be opened over thin links.
	answerTimeout = 150 * time.Millisecond
	// homeLead is how long the nodes of this node's data centre are asked alone, unless all have
	// answered: most streams are taken up where they began.
	homeLead = 30 * time.Millisecond
	// historyTimeout bounds the wait for the history.
	historyTimeout = 500 * time.Millisecond
	// defaultListAge is the default of WithListAge.
	defaultListAge = 2 * time.Second
	// maxVersions bounds the versions that are taken from an answer.
	maxVersions = 64
)

// Outcome is the result of Find, for metrics and logs.
type Outcome string

const (
	// Recorded means that a record of the stream was found.
	Recorded Outcome = "recorded"
	// OnlyVersion means that no record was found, but that the service has had one version only.
	OnlyVersion Outcome = "onlyVersion"
	// Unknown means that it is not known which version began the stream.
	Unknown Outcome = "unknown"
)

// Search describes the stream of which Find finds the origin.
type Search struct {
	// Stream is empty if the caller did not identify it.
	Stream definer.StreamIdentity
	// Service is where the stream goes on if no record names another service.
	Service definer.PoolName
	// ListedAt is when the list of upstreams is known to have been current.
	ListedAt time.Time
	// MaxAge is how long ago the stream may have begun.
	MaxAge time.Duration
}

// isListCurrent reports whether the list of upstreams of a search is current at the time: it has all versions at which
// streams may have begun.
func (versioner *Versioner) isListCurrent(now time.Time, search Search) bool {
	return now.Sub(search.ListedAt) <= versioner.listAge
}

// finding is what is known of a stream.
type finding struct {
	origin  Origin
	outcome Outcome
	// asked and answered count the nodes that were asked, and those of them that answered.
	asked    int
	answered int
}

// Find returns where a stream that is taken up began, and whether that is known. It asks other nodes
// unless this node knows it, and returns at answerTimeout at the latest, or at historyTimeout later if this node has
// just started.
func (versioner *Versioner) Find(ctx context.Context, search Search) (Origin, bool) {
	began := time.Now()
	versioner.awaitHistory(ctx)
	found, known := versioner.findHere(time.Now(), search)
	if !known {
		found = versioner.askPeers(ctx, search)
	}
	versioner.count(found.outcome)
	versioner.log(logger.EventStreamTakenUp, "stream", search.Stream, "service", found.origin.Service, "softwareVersion", found.origin.Version,
		"outcome", found.outcome, "asked", found.asked, "answered", found.answered, "tookMs", time.Since(began).Milliseconds(),
		"versions", len(versioner.versions.Versions(began, search.Service)), "listedMs", began.Sub(versioner.listedSince).Milliseconds(), "firstStart", versioner.listedSince.IsZero(),
		"listAgeMs", began.Sub(search.ListedAt).Milliseconds())
	return found.origin, found.outcome != Unknown
}

// awaitHistory waits until the history is known, which it is not when a node has just started. It returns at
// historyTimeout at the latest.
func (versioner *Versioner) awaitHistory(ctx context.Context) {
	if versioner.history == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	for {
		loaded, changed := versioner.history.Loaded()
		if loaded {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// findHere returns what this node knows of a stream, and whether that is enough.
func (versioner *Versioner) findHere(now time.Time, search Search) (found finding, known bool) {
	versioner.mutex.Lock()
	entry := versioner.get(now, search.Stream)
	versioner.mutex.Unlock()
	if entry != nil {
		return finding{origin: entry.origin, outcome: Recorded}, true
	}
	found = versioner.onlyVersion(now, search.Service)
	complete := now.Sub(versioner.listedSince) >= search.MaxAge && versioner.isListCurrent(now, search)
	return found, complete && found.outcome == OnlyVersion
}

// onlyVersion returns the only version of a service, as far as this node knows.
func (versioner *Versioner) onlyVersion(now time.Time, service definer.PoolName) finding {
	versions := versioner.versions.Versions(now, service)
	if len(versions) != 1 || !versioner.MayBegin(service, versions[0].Version) {
		return finding{outcome: Unknown}
	}
	return finding{origin: Origin{Service: service, Version: versions[0].Version}, outcome: OnlyVersion}
}

// askPeers asks the nodes that may hold the origin. It returns once one of them states it, once the only
// version of this node's current list is that of a node that has listed the versions for the stream's whole
// life, or once all have answered or had the time to. The version must then be the only one of all nodes
// that answered. With a list that may be out of date, the node does not know it unless all have answered.
func (versioner *Versioner) askPeers(ctx context.Context, search Search) finding {
	ask := versioner.newAsk(search)
	defer versioner.forgetAsk(ask)
	versioner.sendAsks(ask, ask.home)
	lead, timeout := time.NewTimer(homeLead), time.NewTimer(answerTimeout)
	defer lead.Stop()
	defer timeout.Stop()
	for !ask.complete() {
		if ask.answered == ask.asked {
			versioner.askRemote(ask)
		}
		select {
		case answer := <-ask.answers:
			ask.answered++
			if found, done := versioner.judge(time.Now(), search, answer); done {
				return ask.counted(found)
			}
			continue
		case <-lead.C:
			versioner.askRemote(ask)
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	now := time.Now()
	found := versioner.onlyVersion(now, search.Service)
	if !versioner.isListCurrent(now, search) && (ask.asked == 0 || !ask.complete()) {
		found = finding{outcome: Unknown}
	}
	return ask.counted(found)
}

// judge returns what is known of a stream with an answer, and whether that is enough.
func (versioner *Versioner) judge(now time.Time, search Search, answer *messenger.OriginAnswer) (found finding, done bool) {
	if origin := answer.Origin; origin != nil && origin.Stream == search.Stream && possible(origin) {
		entry := decode(now, origin)
		versioner.mutex.Lock()
		defer versioner.mutex.Unlock()
		versioner.put(now, origin.Stream, entry)
		return finding{origin: entry.origin, outcome: Recorded}, true
	}
	versioner.versions.LearnVersions(now, search.Service, decodeVersions(answer.Versions))
	found = versioner.onlyVersion(now, search.Service)
	return found, found.outcome == OnlyVersion && answer.Listed >= search.MaxAge && versioner.isListCurrent(now, search)
}

// ask is a search among other nodes.
type ask struct {
	search Search
	number uint64
	// home are the nodes that are asked first, remote the others; remote is nil once they were asked.
	home, remote []exchanger.Peer
	answers      chan *messenger.OriginAnswer
	// asked and answered count the nodes that were asked, and those of them that answered.
	asked    int
	answered int
}

// complete reports whether all nodes were asked and have answered.
func (ask *ask) complete() bool { return ask.answered == ask.asked && len(ask.remote) == 0 }

// counted returns the finding with the numbers of nodes.
func (ask *ask) counted(found finding) finding {
	found.asked, found.answered = ask.asked, ask.answered
	return found
}

// newAsk returns an ask of which the answers are delivered until forgetAsk.
func (versioner *Versioner) newAsk(search Search) *ask {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	home, remote := versioner.currentPlacement().candidates(search.Stream)
	versioner.lastNumber++
	created := &ask{
		search: search, number: versioner.lastNumber, home: home, remote: remote,
		answers: make(chan *messenger.OriginAnswer, len(home)+len(remote)),
	}
	versioner.asks[created.number] = created.answers
	return created
}

// askRemote asks the nodes of other data centres, unless they were asked.
func (versioner *Versioner) askRemote(ask *ask) {
	versioner.sendAsks(ask, ask.remote)
	ask.remote = nil
}

// sendAsks asks nodes for the origin of a stream.
func (versioner *Versioner) sendAsks(ask *ask, nodes []exchanger.Peer) {
	ask.asked += len(nodes)
	for _, node := range nodes {
		versioner.sender.Send(context.Background(), node.Address, &messenger.OriginAsk{
			Number: ask.number, Stream: ask.search.Stream, Service: ask.search.Service, ReplyTo: versioner.self.Address,
		})
	}
}

// forgetAsk removes an ask, so that later answers to it are ignored.
func (versioner *Versioner) forgetAsk(ask *ask) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	delete(versioner.asks, ask.number)
}

// answer answers a peer's ask.
func (versioner *Versioner) answer(now time.Time, ask *messenger.OriginAsk) {
	answer := &messenger.OriginAnswer{Number: ask.Number, Listed: now.Sub(versioner.listedSince)}
	for _, listed := range versioner.versions.Versions(now, ask.Service) {
		answer.Versions = append(answer.Versions, messenger.ServiceVersion{Version: listed.Version, Age: listed.Age})
	}
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	if entry := versioner.get(now, ask.Stream); entry != nil {
		origin := encode(now, ask.Stream, entry)
		answer.Origin = &origin
	}
	versioner.sender.Send(context.Background(), ask.ReplyTo, answer)
}

// deliver passes an answer to the goroutine that waits for it, if any.
func (versioner *Versioner) deliver(answer *messenger.OriginAnswer) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	select {
	case versioner.asks[answer.Number] <- answer:
	default: // Nobody waits any more, or the answer is a duplicate.
	}
}

// decodeVersions returns the versions in an answer that are possible.
func decodeVersions(versions []messenger.ServiceVersion) []registrar.ListedVersion {
	var listed []registrar.ListedVersion
	for _, version := range versions[:min(len(versions), maxVersions)] {
		if len(version.Version) <= maxNameBytes && version.Age >= 0 && version.Age <= registrar.VersionRetention {
			listed = append(listed, registrar.ListedVersion{Version: version.Version, Age: version.Age})
		}
	}
	return listed
}
