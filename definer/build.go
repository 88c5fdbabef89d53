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
	// maxMilliseconds is 30 days; it keeps every duration far from overflow.
	maxMilliseconds = 30 * 24 * 3600 * 1000
	// maxRequests bounds a rate, in requests a second.
	maxRequests = 1_000_000
	// roundingError is what a sum of shares may be off by.
	roundingError = 1e-9
)

// Build checks a whole configuration and returns it in its checked form. The
// error joins all faults, each of kind Invalid. Conditions of rules are
// compiled by package matcher, which the caller checks as well.
func Build(version uint64, document Document) (*Configuration, error) {
	builder := &builder{configuration: &Configuration{
		version:       version,
		classes:       make(map[ClassName]*Class),
		pools:         make(map[PoolName]*Pool),
		organisations: make(map[OrganisationName]*Organisation),
		keys:          make(map[string]*Organisation),
		document:      document,
	}}
	builder.classes()
	builder.pools()
	builder.organisations()
	builder.rules()
	builder.limits()
	if len(builder.faults) > 0 {
		return nil, errors.Join(builder.faults...)
	}
	return builder.configuration, nil
}

// builder gathers a configuration and the faults met on the way.
type builder struct {
	configuration *Configuration
	faults        []error
}

func (builder *builder) require(holds bool, format string, values ...any) {
	if !holds {
		builder.faults = append(builder.faults, fail("check", Invalid, format, values...))
	}
}

func (builder *builder) name(what, name string, taken bool) {
	builder.require(name != "" && len(name) <= maxNameLength, "%s %q: its name must have 1 to %d characters", what, name, maxNameLength)
	builder.require(!taken, "%s %q stands twice", what, name)
}

func (builder *builder) share(what string, value float64) {
	builder.require(value >= 0 && value <= 1, "%s is %g; allowed is 0 to 1", what, value)
}

func (builder *builder) milliseconds(what string, value int) {
	builder.require(value >= 0 && value <= maxMilliseconds, "%s is %d; allowed is 0 to %d", what, value, maxMilliseconds)
}

func (builder *builder) classes() {
	floors := 0.0
	for _, document := range builder.configuration.document.Classes {
		class := &Class{document: document}
		what := fmt.Sprintf("class %q: ", document.Name)
		_, taken := builder.configuration.classes[class.Name()]
		builder.name("class", document.Name, taken)
		builder.require(document.Tier >= 0 && document.Tier <= maxTier, "%stier is %d; allowed is 0 to %d", what, document.Tier, maxTier)
		builder.share(what+"floorShare", document.FloorShare)
		builder.require(document.Attainment > 0 && document.Attainment < 1, "%sattainment is %g; allowed is above 0 and below 1", what, document.Attainment)
		builder.require(document.LongestWaitMs > 0 && document.LongestWaitMs <= maxMilliseconds, "%slongestWaitMs is %d; allowed is 1 to %d", what, document.LongestWaitMs, maxMilliseconds)
		builder.require(!document.Protected || !document.Preemptible, "%sa protected class cannot be preemptible", what)
		builder.milliseconds(what+"firstTokenMs", document.FirstTokenMs)
		builder.milliseconds(what+"betweenTokensMs", document.BetweenTokensMs)
		builder.milliseconds(what+"totalMs", document.TotalMs)
		floors += document.FloorShare
		builder.configuration.classes[class.Name()] = class
	}
	builder.require(floors <= 1+roundingError, "the floorShare of all classes adds up to %g; allowed is 1 at most", floors)
}

func (builder *builder) pools() {
	upstreams := make(map[string]bool)
	for _, document := range builder.configuration.document.Pools {
		pool := &Pool{document: document}
		what := fmt.Sprintf("pool %q: ", document.Name)
		_, taken := builder.configuration.pools[pool.Name()]
		builder.name("pool", document.Name, taken)
		kind := PoolKind(document.Kind)
		builder.require(kind == Engine || kind == Service, "%skind is %q; allowed is engine or service", what, document.Kind)
		builder.share(what+"protectedShare", document.ProtectedShare)
		for _, upstream := range document.Upstreams {
			builder.upstream(what, upstream, upstreams[upstream.Name])
			upstreams[upstream.Name] = true
			pool.upstreams = append(pool.upstreams, &Upstream{document: upstream})
		}
		builder.configuration.pools[pool.Name()] = pool
	}
}

func (builder *builder) upstream(pool string, document UpstreamDocument, taken bool) {
	what := fmt.Sprintf("%supstream %q: ", pool, document.Name)
	builder.name("upstream", document.Name, taken)
	builder.require(document.DataCentre != "", "%sdataCentre is missing", what)
	_, err := netip.ParseAddrPort(document.Address)
	builder.require(err == nil, "%saddress is %q; allowed is an IP address and port", what, document.Address)
	builder.require(document.Slots > 0 && document.Slots <= maxSlots, "%sslots is %d; allowed is 1 to %d", what, document.Slots, maxSlots)
	builder.require(document.MaxSlots >= 0 && document.MaxSlots <= maxSlots, "%smaxSlots is %d; allowed is 0 to %d", what, document.MaxSlots, maxSlots)
}

func (builder *builder) organisations() {
	for _, document := range builder.configuration.document.Organisations {
		organisation := &Organisation{document: document}
		what := fmt.Sprintf("organisation %q: ", document.Name)
		_, taken := builder.configuration.organisations[organisation.Name()]
		builder.name("organisation", document.Name, taken)
		builder.require(document.Weight >= 0 && document.Weight <= maxWeight, "%sweight is %g; allowed is 0 to %d", what, document.Weight, maxWeight)
		builder.require(document.RequestsPerSecond >= 0 && document.RequestsPerSecond <= maxRequests, "%srequestsPerSecond is %g; allowed is 0 to %d", what, document.RequestsPerSecond, maxRequests)
		for _, hash := range document.KeyHashes {
			sum, err := hex.DecodeString(hash)
			builder.require(err == nil && len(sum) == keyHashLength, "%skey hash %q is not a SHA-256 sum in hexadecimal", what, hash)
			hash = strings.ToLower(hash)
			_, used := builder.configuration.keys[hash]
			builder.require(!used, "%skey hash %q belongs to another organisation too", what, hash)
			builder.configuration.keys[hash] = organisation
		}
		builder.configuration.organisations[organisation.Name()] = organisation
	}
}

func (builder *builder) rules() {
	names := make(map[string]bool)
	for _, document := range builder.configuration.document.Rules {
		rule := &Rule{document: document}
		builder.name("rule", document.Name, names[document.Name])
		names[document.Name] = true
		builder.action(fmt.Sprintf("rule %q: ", document.Name), document.Then)
		builder.configuration.rules = append(builder.configuration.rules, rule)
	}
}

func (builder *builder) action(what string, document ActionDocument) {
	if document.Refuse != "" {
		builder.require(document.Class == "" && document.Pool == "", "%sa rule that refuses has no class or pool", what)
		return
	}
	_, class := builder.configuration.classes[ClassName(document.Class)]
	builder.require(class, "%sclass %q does not exist", what, document.Class)
	_, pool := builder.configuration.pools[PoolName(document.Pool)]
	builder.require(pool, "%spool %q does not exist", what, document.Pool)
	switch Repeat(document.Repeat) {
	case "", Idempotent, Never, Keyed:
	default:
		builder.require(false, "%srepeat is %q; allowed is idempotent, never or keyed", what, document.Repeat)
	}
	builder.milliseconds(what+"deadlineMs", document.DeadlineMs)
}

func (builder *builder) limits() {
	limits := builder.configuration.document.Limits
	builder.share("limits: retryShare", limits.RetryShare)
	builder.milliseconds("limits: claimKeepMs", limits.ClaimKeepMs)
}
