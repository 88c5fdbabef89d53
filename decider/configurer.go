package decider

import (
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

const (
	configurerComponent = "configuration"
	// startTimer, bootstrapTimer, tickTimer and fetchTimer are the ids of the
	// component's timers.
	startTimer     = "start"
	bootstrapTimer = "grown"
	tickTimer      = "tick"
	fetchTimer     = "fetch"
	// platformWatchers is how many members of a data centre watch the platform.
	platformWatchers = 2
	// compareInterval is the average time between two comparisons of the
	// version with a random peer.
	compareInterval = 2 * time.Second
	// eagerCompareInterval is that time for the first eagerTicks comparisons
	// after a new version.
	eagerCompareInterval = 250 * time.Millisecond
	eagerTicks           = 20
	// peersOnlyFor is how long a new node tries only its peers before it asks
	// the platform.
	peersOnlyFor = 500 * time.Millisecond
	// bootstrapFor is how long after its start a node counts listed VMs that it
	// has never heard of as alive when it decides whether to watch the
	// platform.
	bootstrapFor = 3 * time.Second
	// isolatedAfter is how long a node hears of no member before it watches the
	// platform regardless of its rank.
	isolatedAfter = 20 * time.Second
	// rollbackMinAge is how long a version must have been in force before an
	// older one read from the platform counts as a rollback of the platform.
	rollbackMinAge = 10 * time.Second
	// maxRejected bounds the number of remembered versions that failed their
	// checks.
	maxRejected = 100
)

// configurer keeps the configuration in force. The applied version only grows,
// and a configuration is applied only if it passed every check.
type configurer struct {
	*core
	// head lists the sections of the configuration in force; digest is the
	// digest of that list.
	head   ConfigurationHead
	digest string
	// appliedAt is when head came into force.
	appliedAt time.Time
	// contents holds the sections of head by hash.
	contents map[string][]byte
	// listings holds the section lists of the latest versions in force, that of
	// head last.
	listings []listing
	// rejected holds, by version, the digest of each version that failed its
	// checks.
	rejected map[uint64]string
	// reportedDigest is the digest of the last divergent version that was
	// logged.
	reportedDigest string
	// fetch is nil unless a newer version is being fetched from peers.
	fetch *fetch
	// startedAt is when this node started.
	startedAt time.Time
	// lastHeard is when the last message of another member arrived, or the
	// start.
	lastHeard time.Time
	// eagerTicksLeft counts the remaining ticks at the shorter interval.
	eagerTicksLeft int
	// view caches the members; it is nil when they must be looked up anew.
	view *view
	// random is seeded with the node's own name, its incarnation and core.seed.
	random *rand.Rand
}

// listing is the list of sections of one version.
type listing struct {
	digest string
	sums   []messenger.SectionSum
}

func newConfigurer(core *core) *configurer {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(core.self.VM)) // A hash takes any bytes.
	return &configurer{
		core:     core,
		contents: make(map[string][]byte),
		rejected: make(map[uint64]string),
		random:   rand.New(rand.NewPCG(hash.Sum64(), uint64(core.self.Incarnation)^core.seed)),
	}
}

func (configurer *configurer) priority() int { return configurerPriority }

func (configurer *configurer) handle(event Event) {
	switch event := event.(type) {
	case started:
		configurer.start()
	case ConfigurationFound:
		configurer.handleFound(event)
	case MessageReceived:
		configurer.handleMessage(event)
	case TimerFired:
		if event.Key.Component == configurerComponent {
			configurer.handleTimer(event.Key.ID)
		}
	case membersChanged:
		configurer.view = nil
		configurer.updateWatch()
	}
}

// start asks the known peers first and the platform a little later, so that a
// new node puts load on the platform only when no peer has a configuration.
func (configurer *configurer) start() {
	configurer.startedAt = configurer.now
	configurer.lastHeard = configurer.now
	configurer.setTimer(configurerComponent, bootstrapTimer, bootstrapFor)
	if len(configurer.bootstrapPeers()) == 0 {
		configurer.updateWatch()
	}
	configurer.setTimer(configurerComponent, startTimer, peersOnlyFor)
	configurer.setTick()
	configurer.setTimer(configurerComponent, fetchTimer, 0)
}

// setTick sets the next tick. The interval is shorter for a while after a new
// version, since many peers may lack it.
func (configurer *configurer) setTick() {
	wait := compareInterval
	if configurer.eagerTicksLeft > 0 {
		configurer.eagerTicksLeft--
		wait = eagerCompareInterval
	}
	configurer.setTimer(configurerComponent, tickTimer, configurer.jitter(wait))
}

func (configurer *configurer) handleTimer(timer string) {
	switch timer {
	case startTimer:
		configurer.updateWatch()
	case bootstrapTimer:
		configurer.view = nil
		configurer.updateWatch()
	case tickTimer:
		configurer.updateWatch()
		configurer.compareWithPeers()
		configurer.setTick()
	case fetchTimer:
		configurer.retryFetch()
	}
}

// updateWatch tells the shell whether this node watches the platform. It does
// if its rank is high enough, or if no peer can be expected to pass on the
// platform's state.
func (configurer *configurer) updateWatch() {
	waited := configurer.now.Sub(configurer.lastHeard)
	hold := configurer.members().rank < platformWatchers ||
		configurer.configuration == nil && waited >= peersOnlyFor ||
		waited > isolatedAfter
	if hold == configurer.watching {
		return
	}
	configurer.core.watching = hold
	configurer.emit(WatchPlatform{Watch: hold})
}

// handleFound handles a configuration that was read from the platform.
func (configurer *configurer) handleFound(event ConfigurationFound) {
	digest := sectioner.Digest(event.Head.Sections)
	switch {
	case event.Head.Version == configurer.head.Version:
		configurer.checkDivergence(event.Head.Version, digest)
	case event.Head.Version < configurer.head.Version:
		if configurer.now.Sub(configurer.appliedAt) > rollbackMinAge && configurer.reportedDigest != digest {
			configurer.reportedDigest = digest
			configurer.log(EventPlatformSetBack, "version", event.Head.Version, "inForce", configurer.head.Version)
		}
	case configurer.rejected[event.Head.Version] != digest:
		configurer.apply(event.Head, digest, configurer.collectFound(event))
	}
}

// checkDivergence logs an event when the version in force has another content
// elsewhere. This happens after the platform was rolled back and assigned
// version numbers a second time.
func (configurer *configurer) checkDivergence(version uint64, digest string) {
	if digest == "" || digest == configurer.digest || digest == configurer.reportedDigest || version == 0 {
		return
	}
	configurer.reportedDigest = digest
	configurer.log(EventConfigurationDiverged, "version", version, "digest", digest, "inForce", configurer.digest)
}

// apply applies a newer configuration if it is complete and passes its checks.
// One that fails its checks is remembered as rejected.
func (configurer *configurer) apply(head ConfigurationHead, digest string, contents map[string][]byte) {
	configuration, compiled, err := check(head, contents)
	if err != nil {
		configurer.log(EventConfigurationRejected, "version", head.Version, "cause", err)
		var failure *sectioner.Error
		if !errors.As(err, &failure) || failure.Kind() != sectioner.Incomplete {
			configurer.reject(head.Version, digest)
		}
		return
	}
	configurer.head, configurer.digest = head, digest
	configurer.appliedAt = configurer.now
	configurer.contents = contents
	configurer.rememberListing(listing{digest: digest, sums: head.Sections})
	configurer.core.configuration = configuration
	configurer.core.matcher = compiled
	configurer.emit(ConfigurationApplied{Configuration: configuration})
	configurer.log(EventConfigurationApplied, "version", head.Version)
	configurer.enqueue(configurationChanged{})
	if configurer.fetch != nil && configurer.fetch.version <= head.Version {
		configurer.endFetch()
	}
	configurer.updateWatch()
	configurer.announceToPeers()
	configurer.eagerTicksLeft = eagerTicks
	configurer.setTick()
}

func (configurer *configurer) reject(version uint64, digest string) {
	if len(configurer.rejected) >= maxRejected {
		clear(configurer.rejected)
	}
	configurer.rejected[version] = digest
}

// collectFound returns the sections that the event's head lists, from the event
// and from those already held.
func (configurer *configurer) collectFound(event ConfigurationFound) map[string][]byte {
	contents := make(map[string][]byte, len(event.Head.Sections))
	for _, section := range event.Contents {
		contents[section.Hash] = section.Data
	}
	return configurer.collectSections(event.Head.Sections, contents)
}

// collectSections returns the contents of the listed sections, from those given
// and those held.
func (configurer *configurer) collectSections(sums []messenger.SectionSum, given map[string][]byte) map[string][]byte {
	contents := make(map[string][]byte, len(sums))
	for _, sum := range sums {
		if data, ok := configurer.contents[sum.Hash]; ok {
			contents[sum.Hash] = data
		} else if data, ok := given[sum.Hash]; ok {
			contents[sum.Hash] = data
		}
	}
	return contents
}

// check joins the sections of a version and returns the checked configuration
// with its compiled rules.
func check(head ConfigurationHead, contents map[string][]byte) (*definer.Configuration, *matcher.Matcher, error) {
	sections := make([]messenger.Section, 0, len(head.Sections))
	for _, sum := range head.Sections {
		sections = append(sections, messenger.Section{Hash: sum.Hash, Data: contents[sum.Hash]})
	}
	document, err := sectioner.Join(head.Sections, sections)
	if err != nil {
		return nil, nil, err
	}
	configuration, err := definer.Build(head.Version, document)
	if err != nil {
		return nil, nil, err
	}
	compiled, err := matcher.New(configuration.Rules())
	if err != nil {
		return nil, nil, err
	}
	return configuration, compiled, nil
}

// jitter returns a random time between half and one and a half of the given
// one.
func (configurer *configurer) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(configurer.random.Int64N(int64(wait)))
}
