package historian

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// Listing lists the versions of the upstreams that this node knows by the list of upstreams.
type Listing interface {
	// Services returns the services with listed upstreams.
	Services() []definer.PoolName
	// Versions returns the versions that are or were recently listed.
	Versions(now time.Time, service definer.PoolName) []registrar.ListedVersion
	// LearnVersions records versions that another node has listed.
	LearnVersions(now time.Time, service definer.PoolName, versions []registrar.ListedVersion)
}

// Historian keeps a node's copy of the entries, and writes those that are due on the nodes that read the
// store. It is safe for concurrent use.
//
// Lock order: mutex first, then that of the listing.
type Historian struct {
	listing Listing
	store   Store
	// role returns this node's role, needed the services whose streams may be taken up.
	role   func() Role
	needed func() map[definer.PoolName]bool
	// written is called after writes, whose effects the store's next answers have.
	written func()
	log     func(number int, pairs ...any)
	// settling is how long streams do not begin at a version that is not the first of its service.
	settling time.Duration

	// mutex guards the fields below.
	mutex sync.RWMutex
	// entries holds the entries by key, byService by service and version.
	entries   map[string]*known
	byService map[definer.PoolName]map[definer.SoftwareVersion]*known
	// loaded is set by the first list.
	loaded bool
	// changed is closed and replaced after each change, and when a version has settled; announcedAt is
	// up to when that was done.
	changed     chan struct{}
	announcedAt time.Time

	// overdue is set while writes are due that other nodes should have made, or that this node makes first.
	overdue atomic.Bool
	// writer is used by the goroutine of Run alone.
	writer writer
	// done is closed when Run returns.
	done chan struct{}
}

// Option changes one setting of a Historian.
type Option func(*Historian)

// WithLog sets the function that receives numbered events; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(historian *Historian) { historian.log = log }
}

// WithWritten sets the function that is called after writes to the store. The default does nothing.
func WithWritten(written func()) Option {
	return func(historian *Historian) { historian.written = written }
}

// WithSpread sets the number between 0 and 1 by which this node's writes come later than those of other nodes
// that are not the first to read the store. The default is 0.
func WithSpread(spread float64) Option {
	return func(historian *Historian) {
		historian.writer.delay = firstDelay + time.Duration(spread*float64(delaySpread))
	}
}

// WithSettling sets how long streams do not begin at a version that is not the first of its service, after this node
// has learned of its entry. By default they begin at once.
func WithSettling(settling time.Duration) Option {
	return func(historian *Historian) { historian.settling = settling }
}

// New returns a Historian without entries. role returns the node's role in reading the store, needed the
// services whose streams may be taken up.
func New(listing Listing, store Store, role func() Role, needed func() map[definer.PoolName]bool, options ...Option) *Historian {
	historian := &Historian{
		listing:   listing,
		store:     store,
		role:      role,
		needed:    needed,
		written:   func() {},
		log:       func(int, ...any) {},
		entries:   make(map[string]*known),
		byService: make(map[definer.PoolName]map[definer.SoftwareVersion]*known),
		changed:   make(chan struct{}),
		writer:    newWriter(),
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(historian)
	}
	return historian
}

// Replace replaces the entries by a whole list.
func (historian *Historian) Replace(now time.Time, list []Entry) {
	historian.mutex.Lock()
	defer historian.mutex.Unlock()
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.Key()] = true
	}
	maps.DeleteFunc(historian.entries, func(key string, _ *known) bool { return !listed[key] })
	historian.put(now, list...)
	historian.loaded = true
	historian.rebuild()
}

// Apply applies changes in order.
func (historian *Historian) Apply(now time.Time, changes []Change) {
	if len(changes) == 0 {
		return
	}
	historian.mutex.Lock()
	defer historian.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(historian.entries, change.Key)
			continue
		}
		historian.put(now, change.Entry)
	}
	historian.rebuild()
}

// put stores entries that are learned together, other than those of which a newer one is known. The mutex is held.
func (historian *Historian) put(now time.Time, entries ...Entry) {
	var learned []*known
	for _, entry := range entries {
		if earlier, ok := historian.entries[entry.Key()]; ok && earlier.Revision >= entry.Revision {
			continue
		}
		known := &known{Entry: entry, learnedAt: now}
		historian.entries[entry.Key()] = known
		learned = append(learned, known)
	}
	for _, entry := range learned {
		if !entry.Settled && !historian.isFirst(now, entry.Entry) {
			entry.settledAt = now.Add(historian.settling)
		}
	}
}

// isFirst reports whether a version is the first of its service, so that no node takes another one for its only
// version. The mutex is held.
func (historian *Historian) isFirst(now time.Time, entry Entry) bool {
	for _, other := range historian.entries {
		if other.Service == entry.Service && other.Version != entry.Version {
			return false
		}
	}
	return !slices.ContainsFunc(historian.listing.Versions(now, entry.Service), func(listed registrar.ListedVersion) bool { return listed.Version != entry.Version })
}

// rebuild rebuilds byService and wakes who waits for a change. The mutex is held.
func (historian *Historian) rebuild() {
	historian.byService = make(map[definer.PoolName]map[definer.SoftwareVersion]*known)
	for _, entry := range historian.entries {
		versions, ok := historian.byService[entry.Service]
		if !ok {
			versions = make(map[definer.SoftwareVersion]*known)
			historian.byService[entry.Service] = versions
		}
		versions[entry.Version] = entry
	}
	historian.wake()
}

// wake wakes who waits for a change. The mutex is held.
func (historian *Historian) wake() {
	close(historian.changed)
	historian.changed = make(chan struct{})
}

// announceSettled wakes who waits for a change if streams may begin at further versions since the last call.
func (historian *Historian) announceSettled(now time.Time) {
	historian.mutex.Lock()
	defer historian.mutex.Unlock()
	for _, entry := range historian.entries {
		if entry.settledAt.After(historian.announcedAt) && !entry.settledAt.After(now) {
			historian.wake()
			break
		}
	}
	historian.announcedAt = now
}

// Recorded reports whether streams may begin at a version: the store is known to have its entry, and all nodes that
// may take its streams up know of it or refuse them.
func (historian *Historian) Recorded(service definer.PoolName, version definer.SoftwareVersion) bool {
	historian.mutex.RLock()
	defer historian.mutex.RUnlock()
	entry, ok := historian.byService[service][version]
	return ok && entry.GoneFor == 0 && !entry.settledAt.After(time.Now())
}

// Loaded reports whether the entries have been read, and returns a channel that is closed at their next change.
func (historian *Historian) Loaded() (loaded bool, changed <-chan struct{}) {
	historian.mutex.RLock()
	defer historian.mutex.RUnlock()
	return historian.loaded, historian.changed
}

// Versions returns the versions of a service that are or were recently listed, or that have an entry.
func (historian *Historian) Versions(now time.Time, service definer.PoolName) []registrar.ListedVersion {
	versions := historian.listing.Versions(now, service)
	historian.mutex.RLock()
	defer historian.mutex.RUnlock()
	for _, version := range slices.Sorted(maps.Keys(historian.byService[service])) {
		entry := historian.byService[service][version]
		if !slices.ContainsFunc(versions, func(listed registrar.ListedVersion) bool { return listed.Version == version }) {
			age := min(entry.goneFor(now, time.Time{}), registrar.VersionRetention)
			versions = append(versions, registrar.ListedVersion{Version: version, Age: age})
		}
	}
	return versions
}

// LearnVersions records versions that another node has listed.
func (historian *Historian) LearnVersions(now time.Time, service definer.PoolName, versions []registrar.ListedVersion) {
	historian.listing.LearnVersions(now, service, versions)
}

// Overdue reports whether this node lacks entries that it or another one should have written, so that it has to
// read them from the store itself.
func (historian *Historian) Overdue() bool { return historian.overdue.Load() }

// Done returns a channel that is closed when Run returns.
func (historian *Historian) Done() <-chan struct{} { return historian.done }
