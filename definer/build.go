package definer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

const (
	maxTier       = 99
	keyHashLength = 32
	maxNameLength = 100
	maxWeight     = 1000
	maxSlots      = 4096
	// maxMilliseconds is 30 days, which keeps every time.Duration far from overflow.
	maxMilliseconds = 30 * 24 * 3600 * 1000
	// maxRequestsPerSecond is the highest rate limit of an organisation, in requests per second.
	maxRequestsPerSecond = 1_000_000
	// roundingError is the tolerance for floating-point errors in a sum of shares.
	roundingError = 1e-9
)

// Build validates a document and returns the Configuration built from it. The
// error joins all faults, each an *Error of kind Invalid. Build does not check
// the conditions of rules: the caller compiles them with package matcher.
func Build(version uint64, document Document) (*Configuration, error) {
	builder := &builder{configuration: &Configuration{
		version:       version,
		classes:       make(map[ClassName]*Class),
		pools:         make(map[PoolName]*Pool),
		organisations: make(map[OrganisationName]*Organisation),
		keys:          make(map[string]*Organisation),
		document:      document,
	}}
	builder.addClasses()
	builder.addPools()
	builder.addOrganisations()
	builder.addRules()
	builder.requireLimits()
	if len(builder.faults) > 0 {
		return nil, errors.Join(builder.faults...)
	}
	return builder.configuration, nil
}

// builder collects the parts of a configuration and the faults found in its document.
type builder struct {
	configuration *Configuration
	faults        []error
}

func (builder *builder) require(holds bool, format string, values ...any) {
	if !holds {
		builder.faults = append(builder.faults, fail("check", Invalid, format, values...))
	}
}

func (builder *builder) requireName(kind, name string, taken bool) {
	builder.require(name != "" && len(name) <= maxNameLength, "%s %q: its name must have 1 to %d characters", kind, name, maxNameLength)
	builder.require(!taken, "%s %q stands twice", kind, name)
}

func (builder *builder) requireShare(setting string, value float64) {
	builder.require(value >= 0 && value <= 1, "%s is %g; allowed is 0 to 1", setting, value)
}

func (builder *builder) requireMilliseconds(setting string, value int) {
	builder.require(value >= 0 && value <= maxMilliseconds, "%s is %d; allowed is 0 to %d", setting, value, maxMilliseconds)
}

func (builder *builder) addClasses() {
	floorSum := 0.0
	for _, document := range builder.configuration.document.Classes {
		class := &Class{document: document}
		prefix := fmt.Sprintf("class %q: ", document.Name)
		_, taken := builder.configuration.classes[class.Name()]
		builder.requireName("class", document.Name, taken)
		builder.require(document.Tier >= 0 && document.Tier <= maxTier, "%stier is %d; allowed is 0 to %d", prefix, document.Tier, maxTier)
		builder.requireShare(prefix+"floorShare", document.FloorShare)
		builder.require(document.Attainment > 0 && document.Attainment < 1, "%sattainment is %g; allowed is above 0 and below 1", prefix, document.Attainment)
		builder.require(document.LongestWaitMs > 0 && document.LongestWaitMs <= maxMilliseconds, "%slongestWaitMs is %d; allowed is 1 to %d", prefix, document.LongestWaitMs, maxMilliseconds)
		builder.require(!document.Protected || !document.Preemptible, "%sa protected class cannot be preemptible", prefix)
		builder.requireMilliseconds(prefix+"firstTokenMs", document.FirstTokenMs)
		builder.requireMilliseconds(prefix+"betweenTokensMs", document.BetweenTokensMs)
		builder.requireMilliseconds(prefix+"totalMs", document.TotalMs)
		floorSum += document.FloorShare
		builder.configuration.classes[class.Name()] = class
	}
	builder.require(floorSum <= 1+roundingError, "the floorShare of all classes adds up to %g; allowed is 1 at most", floorSum)
}

func (builder *builder) addPools() {
	upstreams := make(map[string]bool)
	for _, document := range builder.configuration.document.Pools {
		pool := &Pool{document: document}
		prefix := fmt.Sprintf("pool %q: ", document.Name)
		_, taken := builder.configuration.pools[pool.Name()]
		builder.requireName("pool", document.Name, taken)
		kind := PoolKind(document.Kind)
		builder.require(kind == Engine || kind == Service, "%skind is %q; allowed is engine or service", prefix, document.Kind)
		builder.requireShare(prefix+"protectedShare", document.ProtectedShare)
		for _, upstream := range document.Upstreams {
			builder.requireUpstream(prefix, upstream, upstreams[upstream.Name])
			upstreams[upstream.Name] = true
			pool.upstreams = append(pool.upstreams, &Upstream{document: upstream})
		}
		builder.configuration.pools[pool.Name()] = pool
	}
}

func (builder *builder) requireUpstream(poolPrefix string, document UpstreamDocument, taken bool) {
	prefix := fmt.Sprintf("%supstream %q: ", poolPrefix, document.Name)
	builder.requireName("upstream", document.Name, taken)
	builder.require(document.DataCentre != "", "%sdataCentre is missing", prefix)
	_, err := netip.ParseAddrPort(document.Address)
	builder.require(err == nil, "%saddress is %q; allowed is an IP address and port", prefix, document.Address)
	builder.require(document.Slots > 0 && document.Slots <= maxSlots, "%sslots is %d; allowed is 1 to %d", prefix, document.Slots, maxSlots)
	builder.require(document.MaxSlots >= 0 && document.MaxSlots <= maxSlots, "%smaxSlots is %d; allowed is 0 to %d", prefix, document.MaxSlots, maxSlots)
}

func (builder *builder) addOrganisations() {
	for _, document := range builder.configuration.document.Organisations {
		organisation := &Organisation{document: document}
		prefix := fmt.Sprintf("organisation %q: ", document.Name)
		_, taken := builder.configuration.organisations[organisation.Name()]
		builder.requireName("organisation", document.Name, taken)
		builder.require(document.Weight >= 0 && document.Weight <= maxWeight, "%sweight is %g; allowed is 0 to %d", prefix, document.Weight, maxWeight)
		builder.require(document.RequestsPerSecond >= 0 && document.RequestsPerSecond <= maxRequestsPerSecond, "%srequestsPerSecond is %g; allowed is 0 to %d", prefix, document.RequestsPerSecond, maxRequestsPerSecond)
		for _, hash := range document.KeyHashes {
			sum, err := hex.DecodeString(hash)
			builder.require(err == nil && len(sum) == keyHashLength, "%skey hash %q is not a SHA-256 sum in hexadecimal", prefix, hash)
			hash = strings.ToLower(hash)
			_, used := builder.configuration.keys[hash]
			builder.require(!used, "%skey hash %q belongs to another organisation too", prefix, hash)
			builder.configuration.keys[hash] = organisation
		}
		builder.configuration.organisations[organisation.Name()] = organisation
	}
}

func (builder *builder) addRules() {
	names := make(map[string]bool)
	for _, document := range builder.configuration.document.Rules {
		rule := &Rule{document: document}
		builder.requireName("rule", document.Name, names[document.Name])
		names[document.Name] = true
		builder.requireAction(fmt.Sprintf("rule %q: ", document.Name), document.Then)
		builder.configuration.rules = append(builder.configuration.rules, rule)
	}
}

func (builder *builder) requireAction(prefix string, document ActionDocument) {
	if document.Refuse != "" {
		builder.require(document.Class == "" && document.Pool == "", "%sa rule that refuses has no class or pool", prefix)
		return
	}
	_, classExists := builder.configuration.classes[ClassName(document.Class)]
	builder.require(classExists, "%sclass %q does not exist", prefix, document.Class)
	_, poolExists := builder.configuration.pools[PoolName(document.Pool)]
	builder.require(poolExists, "%spool %q does not exist", prefix, document.Pool)
	switch Repeat(document.Repeat) {
	case "", Idempotent, Never, Keyed:
	default:
		builder.require(false, "%srepeat is %q; allowed is idempotent, never or keyed", prefix, document.Repeat)
	}
	builder.requireMilliseconds(prefix+"deadlineMs", document.DeadlineMs)
}

func (builder *builder) requireLimits() {
	limits := builder.configuration.document.Limits
	builder.requireShare("limits: retryShare", limits.RetryShare)
	builder.requireMilliseconds("limits: claimKeepMs", limits.ClaimKeepMs)
}
