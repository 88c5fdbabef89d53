package versioner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

const (
	// maxRecords bounds the known streams, at some 200 bytes each.
	maxRecords = 16384
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = 10 * time.Second
	// takeUpPeriod is how long after the end of its time limit a stream may still be taken up.
	takeUpPeriod = time.Minute
	// maxLifetime bounds the lifetime that a peer may state.
	maxLifetime = time.Hour
	// maxNameBytes bounds the length of names that a peer may send.
	maxNameBytes = 256
	// batchSize is the number of origins in one message at most.
	batchSize = 256
)

// Fleet lists the nodes that may hold origins.
type Fleet interface {
	// Nodes returns all nodes, this one included, and whether the list has been read yet. The
	// caller must not change the slice.
	Nodes() (nodes []exchanger.Peer, known bool)
}

// Sender sends messages to peers without blocking.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
	// Lost reports whether the latest messages to the address could not be delivered.
	Lost(address string) bool
}

// Versions lists the software versions of services.
type Versions interface {
	// Versions returns the versions that are or were recently listed.
	Versions(now time.Time, service definer.PoolName) []registrar.ListedVersion
	// LearnVersions records versions that another node has listed.
	LearnVersions(now time.Time, service definer.PoolName, versions []registrar.ListedVersion)
}

// History knows which versions may have begun a stream, also before the nodes started.
type History interface {
	// Recorded reports whether streams may begin at a version.
	Recorded(service definer.PoolName, version definer.SoftwareVersion) bool
	// Loaded reports whether the history is known, and returns a channel that is closed when it has changed.
	Loaded() (loaded bool, changed <-chan struct{})
}

// Versioner keeps and finds the origins of streams. It is safe for concurrent use.
//
// Lock order: mutex first, then that of the versions, the fleet or the sender.
type Versioner struct {
	self     exchanger.Peer
	fleet    Fleet
	sender   Sender
	versions Versions
	// history is nil if it is not kept: versions that are not listed when this node starts are then not known.
	history History
	log     func(number int, pairs ...any)
	count   func(Outcome)
	// listAge is the age up to which the list of upstreams is taken for current.
	listAge time.Duration
	// listedSince is from when on the versions have no gaps; zero if no stream began before.
	listedSince time.Time

	mutex sync.Mutex
	// records are the known origins, at most maxRecords.
	records map[definer.StreamIdentity]*record
	// own are the streams of this node that have not ended, or have broken off and may be taken up.
	own map[definer.StreamIdentity]*ownStream
	// sweptAt is when expired records were last removed.
	sweptAt time.Time
	// asks holds the answer channels of this node's asks by number.
	asks       map[uint64]chan *messenger.OriginAnswer
	lastNumber uint64
	// placement belongs to the list of nodes that begins at placedNode and has placedCount nodes.
	placement   *placement
	placedNode  *exchanger.Peer
	placedCount int
	// refreshed is the placement of the last Refresh.
	refreshed *placement
}

// Option changes one setting of a Versioner.
type Option func(*Versioner)

// WithLog sets the function that receives numbered events; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(versioner *Versioner) { versioner.log = log }
}

// WithCounts sets the function that is called with the outcome of each Find. The default does
// nothing, and nil keeps it.
func WithCounts(count func(Outcome)) Option {
	return func(versioner *Versioner) {
		if count != nil {
			versioner.count = count
		}
	}
}

// WithHistory sets which versions may have begun a stream before this node started.
func WithHistory(history History) Option {
	return func(versioner *Versioner) { versioner.history = history }
}

// WithListAge sets the age up to which the list of upstreams is taken for current: at least this long, streams do not
// begin at a version after its upstreams were listed. The default is 2 s, and 0 keeps it.
func WithListAge(age time.Duration) Option {
	return func(versioner *Versioner) { versioner.listAge = cmp.Or(age, versioner.listAge) }
}

// WithFirstStart states that the whole deployment starts for the first time, so that no stream began
// before.
func WithFirstStart() Option {
	return func(versioner *Versioner) { versioner.listedSince = time.Time{} }
}

// New returns the Versioner of the node self.
func New(self exchanger.Peer, fleet Fleet, sender Sender, versions Versions, options ...Option) *Versioner {
	versioner := &Versioner{
		self:        self,
		fleet:       fleet,
		sender:      sender,
		versions:    versions,
		log:         func(int, ...any) {},
		count:       func(Outcome) {},
		listAge:     defaultListAge,
		listedSince: time.Now(),
		records:     make(map[definer.StreamIdentity]*record),
		own:         make(map[definer.StreamIdentity]*ownStream),
		asks:        make(map[uint64]chan *messenger.OriginAnswer),
		// Starts at the time, so that answers to asks of an earlier process match none of this
		// process.
		lastNumber: uint64(time.Now().UnixNano()),
	}
	for _, option := range options {
		option(versioner)
	}
	return versioner
}

// Begun records where a stream began, once the caller is about to get its first event, or where it goes
// on. The stream may be taken up for the lifetime and takeUpPeriod.
func (versioner *Versioner) Begun(now time.Time, stream definer.StreamIdentity, origin Origin, lifetime time.Duration) {
	if stream == "" {
		return
	}
	entry := &record{origin: origin, expiresAt: now.Add(min(lifetime+takeUpPeriod, maxLifetime))}
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	versioner.put(now, stream, entry)
	versioner.own[stream] = &ownStream{record: entry}
	if versioner.hasSeveralVersions(now, origin.Service) {
		versioner.report(now, map[definer.StreamIdentity]*ownStream{stream: versioner.own[stream]})
	}
}

// MayBegin reports whether streams may begin at a version: one that the history lacks would be unknown to nodes
// that start after its last upstream has left.
func (versioner *Versioner) MayBegin(service definer.PoolName, version definer.SoftwareVersion) bool {
	return versioner.history == nil || versioner.history.Recorded(service, version)
}

// HistoryChanged returns a channel that is closed when streams may begin at other versions; nil if that never
// changes.
func (versioner *Versioner) HistoryChanged() <-chan struct{} {
	if versioner.history == nil {
		return nil
	}
	_, changed := versioner.history.Loaded()
	return changed
}

// hasSeveralVersions reports whether a service has or recently had several versions.
func (versioner *Versioner) hasSeveralVersions(now time.Time, service definer.PoolName) bool {
	return len(versioner.versions.Versions(now, service)) > 1
}

// put stores the record of a stream and replaces an earlier one. At maxRecords it drops an arbitrary one.
// The mutex is held.
func (versioner *Versioner) put(now time.Time, stream definer.StreamIdentity, entry *record) {
	if now.Sub(versioner.sweptAt) >= sweepInterval {
		versioner.sweptAt = now
		maps.DeleteFunc(versioner.records, func(_ definer.StreamIdentity, known *record) bool { return known.expired(now) })
		maps.DeleteFunc(versioner.own, func(_ definer.StreamIdentity, known *ownStream) bool { return known.record.expired(now) })
	}
	for known := range versioner.records {
		if len(versioner.records) < maxRecords {
			break
		}
		delete(versioner.records, known)
		delete(versioner.own, known)
	}
	versioner.records[stream] = entry
}

// get returns the record of a stream, or nil. The mutex is held.
func (versioner *Versioner) get(now time.Time, stream definer.StreamIdentity) *record {
	entry, ok := versioner.records[stream]
	if !ok || entry.expired(now) {
		return nil
	}
	return entry
}

// Ended records that the caller has received a stream to its end and will not take it up.
func (versioner *Versioner) Ended(stream definer.StreamIdentity) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	if own, ok := versioner.own[stream]; ok && len(own.holders) == 0 {
		delete(versioner.records, stream)
	}
	delete(versioner.own, stream)
}

// VersionsChanged reports the origins of this node's streams of a service to their holders if the service
// has several versions now.
func (versioner *Versioner) VersionsChanged(now time.Time, service definer.PoolName) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	if len(versioner.own) == 0 || !versioner.hasSeveralVersions(now, service) {
		return
	}
	due := make(map[definer.StreamIdentity]*ownStream)
	for stream, own := range versioner.own {
		if own.record.origin.Service == service && len(own.holders) == 0 {
			due[stream] = own
		}
	}
	versioner.report(now, due)
}

// Refresh reports the origins of this node's streams to holders that are new since the list of nodes has
// changed. It is to be called several times a second.
func (versioner *Versioner) Refresh(now time.Time) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	current := versioner.currentPlacement()
	if current == versioner.refreshed {
		return
	}
	versioner.refreshed = current
	several := make(map[definer.PoolName]bool)
	due := make(map[definer.StreamIdentity]*ownStream)
	for stream, own := range versioner.own {
		service := own.record.origin.Service
		if _, known := several[service]; !known {
			several[service] = versioner.hasSeveralVersions(now, service)
		}
		if several[service] {
			due[stream] = own
		}
	}
	versioner.report(now, due)
}

// report sends the origins of streams to those of their holders that have not received them. The mutex is
// held.
func (versioner *Versioner) report(now time.Time, streams map[definer.StreamIdentity]*ownStream) {
	placement := versioner.currentPlacement()
	batches := make(map[string][]messenger.StreamOrigin)
	for stream, own := range streams {
		if own.record.expired(now) {
			continue
		}
		holders := placement.holders(stream)
		for _, holder := range holders {
			if !slices.Contains(own.holders, holder) {
				batches[holder.Address] = append(batches[holder.Address], encode(now, stream, own.record))
			}
		}
		own.holders = holders
	}
	for address, origins := range batches {
		for batch := range slices.Chunk(origins, batchSize) {
			versioner.sender.Send(context.Background(), address, &messenger.StreamOrigins{Origins: batch})
		}
	}
}

// currentPlacement returns the placement for the current list of nodes. The mutex is held.
func (versioner *Versioner) currentPlacement() *placement {
	nodes, _ := versioner.fleet.Nodes()
	var first *exchanger.Peer
	if len(nodes) > 0 {
		first = &nodes[0]
	}
	if versioner.placement == nil || first != versioner.placedNode || len(nodes) != versioner.placedCount {
		versioner.placement = newPlacement(versioner.self, nodes, versioner.sender.Lost)
		versioner.placedNode, versioner.placedCount = first, len(nodes)
	}
	return versioner.placement
}

// Receive processes a message about origins from a peer.
func (versioner *Versioner) Receive(message messenger.Message) {
	now := time.Now()
	switch message := message.(type) {
	case *messenger.StreamOrigins:
		versioner.learn(now, message.Origins)
	case *messenger.OriginAsk:
		versioner.answer(now, message)
	case *messenger.OriginAnswer:
		versioner.deliver(message)
	}
}

// learn stores the origins that a peer sent. Those that are not possible are ignored, since the peer may
// be of another version or faulty.
func (versioner *Versioner) learn(now time.Time, origins []messenger.StreamOrigin) {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	for index := range origins[:min(len(origins), batchSize)] {
		if origin := &origins[index]; possible(origin) {
			versioner.put(now, origin.Stream, decode(now, origin))
		}
	}
}

// possible reports whether a peer may have sent such an origin.
func possible(origin *messenger.StreamOrigin) bool {
	return len(origin.Stream) == definer.StreamIdentityBytes && len(origin.Service) <= maxNameBytes &&
		len(origin.Version) <= maxNameBytes && origin.Lifetime > 0 && origin.Lifetime <= maxLifetime
}

func encode(now time.Time, stream definer.StreamIdentity, entry *record) messenger.StreamOrigin {
	return messenger.StreamOrigin{Stream: stream, Service: entry.origin.Service, Version: entry.origin.Version, Lifetime: entry.expiresAt.Sub(now)}
}

func decode(now time.Time, origin *messenger.StreamOrigin) *record {
	return &record{origin: Origin{Service: origin.Service, Version: origin.Version}, expiresAt: now.Add(origin.Lifetime)}
}

// RecordCount returns the number of streams whose origins this node keeps.
func (versioner *Versioner) RecordCount() int {
	versioner.mutex.Lock()
	defer versioner.mutex.Unlock()
	return len(versioner.records)
}
