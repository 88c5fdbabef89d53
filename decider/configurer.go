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
	configurerPart = "configuration"
	// startTimer, tickTimer and fetchTimer name the part's timers.
	startTimer = "start"
	grownTimer = "grown"
	tickTimer  = "tick"
	fetchTimer = "fetch"
	// configurationHolders is how many members of a data centre hold the
	// platform's watches.
	configurationHolders = 2
	// configurationTick is the time between two asks of a peer at random.
	configurationTick = 2 * time.Second
	// eagerTick is that time for eagerTicks times after a new version.
	eagerTick  = 250 * time.Millisecond
	eagerTicks = 20
	// configurationStart is how long a new node tries its peers alone.
	configurationStart = 500 * time.Millisecond
	// configurationYouth is how long listed VMs that were never heard of count
	// as if they lived, when a node asks whether to hold the watches.
	configurationYouth = 3 * time.Second
	// lonelyAfter is how long a node hears of no member before it holds the
	// watches in any case.
	lonelyAfter = 20 * time.Second
	// setBackAfter is how much later than a version came into force the
	// platform must tell an older one to be taken for set back.
	setBackAfter = 10 * time.Second
	// maxRejected bounds the list of versions that failed their checks.
	maxRejected = 100
)

// configurer keeps the configuration in force. The version applied only grows,
// and only a configuration that passed every check is applied.
type configurer struct {
	*core
	// head is that of the configuration in force, digest that of its list.
	head   Head
	digest string
	// appliedAt is when head came into force.
	appliedAt time.Time
	// contents holds the sections of head by hash.
	contents map[string][]byte
	// earlier holds the lists of the latest versions in force, head's last.
	earlier []listing
	// rejected holds the digest of each version that failed its checks.
	rejected map[uint64]string
	// reported is the digest of the last foreign version that was logged.
	reported string
	// fetch is nil unless a newer version is being fetched from peers.
	fetch *fetch
	// began is the start of this node's life.
	began time.Time
	// heard is when another member was last heard of, or the start.
	heard time.Time
	// eager counts the ticks that are still to come early.
	eager int
	// view is nil when the members have to be looked up anew.
	view *view
	// random is seeded by the node's own name.
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
		configurer.found(event)
	case MessageReceived:
		configurer.receive(event)
	case TimerFired:
		if event.Key.Part == configurerPart {
			configurer.fired(event.Key.ID)
		}
	case membersChanged:
		configurer.view = nil
		configurer.hold()
	}
}

// start asks the peers at hand; the platform's turn comes a little later, so
// that a new node burdens it only when no peer has a configuration.
func (configurer *configurer) start() {
	configurer.began = configurer.now
	configurer.heard = configurer.now
	configurer.after(configurerPart, grownTimer, configurationYouth)
	if len(configurer.candidates()) == 0 {
		configurer.hold()
	}
	configurer.after(configurerPart, startTimer, configurationStart)
	configurer.setTick()
	configurer.after(configurerPart, fetchTimer, 0)
}

// setTick sets the next tick: early for a while after a new version, since many
// peers may lack it.
func (configurer *configurer) setTick() {
	wait := configurationTick
	if configurer.eager > 0 {
		configurer.eager--
		wait = eagerTick
	}
	configurer.after(configurerPart, tickTimer, configurer.jitter(wait))
}

func (configurer *configurer) fired(timer string) {
	switch timer {
	case startTimer:
		configurer.hold()
	case grownTimer:
		configurer.view = nil
		configurer.hold()
	case tickTimer:
		configurer.hold()
		configurer.compare()
		configurer.setTick()
	case fetchTimer:
		configurer.fetchAgain()
	}
}

// hold tells the shell whether this node holds the platform's watches: by rank,
// or because nobody can be expected to pass on what the platform says.
func (configurer *configurer) hold() {
	waited := configurer.now.Sub(configurer.heard)
	hold := configurer.members().rank < configurationHolders ||
		configurer.configuration == nil && waited >= configurationStart ||
		waited > lonelyAfter
	if hold == configurer.holding {
		return
	}
	configurer.core.holding = hold
	configurer.act(WatchPlatform{Hold: hold})
}

// found takes in a configuration that was read from the platform.
func (configurer *configurer) found(event ConfigurationFound) {
	digest := sectioner.Digest(event.Head.Sections)
	switch {
	case event.Head.Version == configurer.head.Version:
		configurer.agree(event.Head.Version, digest)
	case event.Head.Version < configurer.head.Version:
		if configurer.now.Sub(configurer.appliedAt) > setBackAfter && configurer.reported != digest {
			configurer.reported = digest
			configurer.log(EventPlatformSetBack, "version", event.Head.Version, "inForce", configurer.head.Version)
		}
	case configurer.rejected[event.Head.Version] != digest:
		configurer.take(event.Head, digest, configurer.gather(event))
	}
}

// agree checks that a version means the same elsewhere. It does not after the
// platform was set back and its numbers were given anew.
func (configurer *configurer) agree(version uint64, digest string) {
	if digest == "" || digest == configurer.digest || digest == configurer.reported || version == 0 {
		return
	}
	configurer.reported = digest
	configurer.log(EventConfigurationDiverged, "version", version, "digest", digest, "inForce", configurer.digest)
}

// take applies a newer configuration if it is whole and passes its checks, and
// remembers it if it does not.
func (configurer *configurer) take(head Head, digest string, contents map[string][]byte) {
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
	configurer.remember(listing{digest: digest, sums: head.Sections})
	configurer.core.configuration = configuration
	configurer.core.matcher = compiled
	configurer.act(ConfigurationApplied{Configuration: configuration})
	configurer.log(EventConfigurationApplied, "version", head.Version)
	configurer.notify(configurationChanged{})
	if configurer.fetch != nil && configurer.fetch.version <= head.Version {
		configurer.endFetch()
	}
	configurer.hold()
	configurer.spread()
	configurer.eager = eagerTicks
	configurer.setTick()
}

func (configurer *configurer) reject(version uint64, digest string) {
	if len(configurer.rejected) >= maxRejected {
		clear(configurer.rejected)
	}
	configurer.rejected[version] = digest
}

// gather returns the sections that the event's head names, from the event and
// from those already held.
func (configurer *configurer) gather(event ConfigurationFound) map[string][]byte {
	contents := make(map[string][]byte, len(event.Head.Sections))
	for _, section := range event.Contents {
		contents[section.Hash] = section.Data
	}
	return configurer.complete(event.Head.Sections, contents)
}

// complete returns the sections of a list, from those given and those held.
func (configurer *configurer) complete(sums []messenger.SectionSum, given map[string][]byte) map[string][]byte {
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

// check joins the sections of a version and returns what they hold, checked.
func check(head Head, contents map[string][]byte) (*definer.Configuration, *matcher.Matcher, error) {
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

// jitter returns a time around the given one, from half to one and a half.
func (configurer *configurer) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(configurer.random.Int64N(int64(wait)))
}
