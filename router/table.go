// Package router holds one configuration as a table: the ordered rules, of which
// the first that matches a request counts, the services they send to, and the
// organisations with their keys.
package router

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"limpetcleat/definer"
)

// Table is a checked configuration. It never changes once built.
type Table struct {
	definition Definition
	// byHost holds each rule once, in the definition's order.
	byHost map[string][]*Rule
	// services holds each service once, under its own name.
	services map[definer.PoolName]*Service
	// byKey maps the SHA-256 sum of each key to the one organisation that has it.
	byKey map[[sha256.Size]byte]*Organisation
}

// New checks a definition and returns its table.
func New(definition Definition) (*Table, error) {
	table := &Table{
		definition: definition,
		byHost:     make(map[string][]*Rule),
		services:   make(map[definer.PoolName]*Service),
		byKey:      make(map[[sha256.Size]byte]*Organisation),
	}
	for index := range definition.Services {
		service := &table.definition.Services[index]
		table.services[service.Name] = service
	}
	for index := range definition.Rules {
		rule := &table.definition.Rules[index]
		if err := check(rule); err != nil {
			return nil, err
		}
		table.byHost[rule.Host] = append(table.byHost[rule.Host], rule)
	}
	for index := range definition.Organisations {
		organisation := &table.definition.Organisations[index]
		for _, key := range organisation.Keys {
			table.byKey[sha256.Sum256([]byte(key))] = organisation
		}
	}
	return table, nil
}

func check(rule *Rule) error {
	if len(rule.Targets) == 0 {
		return fail("new", Invalid, "rule %q has no target", rule.Name)
	}
	if rule.MaxAttempts < 1 {
		return fail("new", Invalid, "rule %q allows %d attempts; at least 1 is needed", rule.Name, rule.MaxAttempts)
	}
	for _, target := range rule.Targets {
		if target.Weight <= 0 {
			return fail("new", Invalid, "rule %q: the weight of %q is not above 0", rule.Name, target.Service)
		}
	}
	return nil
}

// Version returns the number of the configuration; higher is newer.
func (table *Table) Version() uint64 { return table.definition.Version }

// Definition returns what the table was made from; it must not be changed.
func (table *Table) Definition() Definition { return table.definition }

// Limits returns what callers may send.
func (table *Table) Limits() Limits { return table.definition.Limits }

// Rules returns the rules in order.
func (table *Table) Rules() []Rule { return table.definition.Rules }

// Service returns the service of that name, if there is one.
func (table *Table) Service(name definer.PoolName) (*Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Match returns the first rule that matches the host and the path. The error is
// of kind NoRule when none does.
func (table *Table) Match(host, path string) (*Rule, error) {
	for _, rule := range table.byHost[normalise(host)] {
		if strings.HasPrefix(path, rule.PathPrefix) {
			return rule, nil
		}
	}
	return nil, fail("match", NoRule, "no rule of version %d matches %q %q", table.Version(), host, path)
}

// normalise returns a host as rules have it: in lower case, without a port.
func normalise(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Authenticate returns the organisation that holds the key, or nil for a public
// rule and a configuration without organisations. The error is of kind NoKey.
func (table *Table) Authenticate(rule *Rule, key string) (*Organisation, error) {
	if len(table.definition.Organisations) == 0 {
		return nil, nil
	}
	organisation, ok := table.byKey[sha256.Sum256([]byte(key))]
	if ok && key != "" {
		return organisation, nil
	}
	if rule.Public {
		return nil, nil
	}
	return nil, fail("authenticate", NoKey, "no organisation of version %d holds the key", table.Version())
}

// Tier returns the rank of a request: the organisation's if it has one, else the
// rule's. The organisation may be nil.
func (table *Table) Tier(rule *Rule, organisation *Organisation) int {
	if organisation != nil && organisation.HasTier {
		return organisation.Tier
	}
	return rule.Tier
}

// Urgency returns what orders the requests at one engine, 0 first: by the rule's
// tier, and within it by Tier, so that no request is preempted for one of a lower
// rule, whoever sends it.
func (table *Table) Urgency(rule *Rule, organisation *Organisation) int {
	return min(rule.Tier, maxTier)*urgenciesOfTier + min(table.Tier(rule, organisation), urgenciesOfTier-1)
}

// DeferredUrgency returns the urgency of a rule's requests that will be late anyway,
// so that they take nothing from others, and whether there is one: only requests of the
// lowest tier at their services may be put behind others.
func (table *Table) DeferredUrgency(rule *Rule) (urgency int, ok bool) {
	for index := range table.definition.Rules {
		other := &table.definition.Rules[index]
		if other.Tier > rule.Tier && rule.sharesService(other) {
			return 0, false
		}
	}
	return lowestUrgency, rule.Tier < maxTier
}

// sharesService tells whether some service gets requests of both rules.
func (rule *Rule) sharesService(other *Rule) bool {
	return slices.ContainsFunc(rule.Targets, func(target Target) bool {
		return slices.ContainsFunc(other.Targets, func(of Target) bool { return of.Service == target.Service })
	})
}

const (
	// lowestUrgency is the last that engines know.
	lowestUrgency = urgenciesOfTier*(maxTier+1) - 1
	// urgenciesOfTier is how many urgencies a tier has; engines know 10 in all, and
	// there are up to 5 tiers, of which maxTier is the lowest.
	urgenciesOfTier = 2
	maxTier         = 4
)

// Pick returns the rule's target for a draw between 0 and 1.
func (rule *Rule) Pick(draw float64) definer.PoolName {
	total := 0.0
	for _, target := range rule.Targets {
		total += target.Weight
	}
	left := draw * total
	for _, target := range rule.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return rule.Targets[len(rule.Targets)-1].Service
}
