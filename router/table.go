// Package router implements the routing table of one configuration. It matches requests to
// ordered rules by host and path, of which the first that matches applies, picks the service
// that they are sent to, and authenticates organisations by their keys.
package router

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
)

// Table is a validated and indexed configuration. It is immutable.
type Table struct {
	definition Definition
	// rulesByHost holds each rule once, in the order of the definition.
	rulesByHost map[string][]*Rule
	// services holds each service under its name.
	services map[definer.PoolName]*Service
	// organisationsByKey maps the SHA-256 sum of each key to the organisation that holds it.
	organisationsByKey map[[sha256.Size]byte]*Organisation
	// weights holds the weights of the organisations that have one.
	weights map[definer.OrganisationName]float64
	// shortestObjective is the shortest latency objective of a rule; 0 if none has one.
	shortestObjective time.Duration
}

// ShortestObjective returns the shortest latency objective of a rule; 0 if none has one.
func (table *Table) ShortestObjective() time.Duration { return table.shortestObjective }

// New validates a definition and returns its table. The error is of kind Invalid.
func New(definition Definition) (*Table, error) {
	table := &Table{
		definition:         definition,
		rulesByHost:        make(map[string][]*Rule),
		services:           make(map[definer.PoolName]*Service),
		organisationsByKey: make(map[[sha256.Size]byte]*Organisation),
		weights:            make(map[definer.OrganisationName]float64),
	}
	for index := range definition.Services {
		service := &table.definition.Services[index]
		table.services[service.Name] = service
	}
	for index := range definition.Rules {
		rule := &table.definition.Rules[index]
		if err := validateRule(rule); err != nil {
			return nil, err
		}
		table.rulesByHost[rule.Host] = append(table.rulesByHost[rule.Host], rule)
		if rule.Objective > 0 && (table.shortestObjective == 0 || rule.Objective < table.shortestObjective) {
			table.shortestObjective = rule.Objective
		}
	}
	for index := range definition.Organisations {
		organisation := &table.definition.Organisations[index]
		if organisation.Weight > 0 {
			table.weights[organisation.Name] = organisation.Weight
		}
		for _, key := range organisation.Keys {
			table.organisationsByKey[sha256.Sum256([]byte(key))] = organisation
		}
	}
	return table, nil
}

// validateRule returns an error of kind Invalid if requests of the rule could not be served.
func validateRule(rule *Rule) error {
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

// Version returns the version of the configuration; a higher one is newer.
func (table *Table) Version() uint64 { return table.definition.Version }

// Definition returns the definition of the table, which must not be modified.
func (table *Table) Definition() Definition { return table.definition }

// Limits returns the bounds of what callers may send.
func (table *Table) Limits() Limits { return table.definition.Limits }

// Rules returns the rules in order, which must not be modified.
func (table *Table) Rules() []Rule { return table.definition.Rules }

// Service returns the service of the name and whether there is one.
func (table *Table) Service(name definer.PoolName) (*Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Match returns the first rule that matches the host and the path. The error is of kind NoRule
// if none does.
func (table *Table) Match(host, path string) (*Rule, error) {
	for _, rule := range table.rulesByHost[normaliseHost(host)] {
		if strings.HasPrefix(path, rule.PathPrefix) {
			return rule, nil
		}
	}
	return nil, fail("match", NoRule, "no rule of version %d matches %q %q", table.Version(), host, path)
}

// normaliseHost returns a host in the form that rules have: lower case, without a port or a
// final dot.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Authenticate returns the organisation that holds the key. If none does, it returns nil for
// a public rule and an error of kind NoKey for any other. In a configuration that requires no
// keys it always returns nil.
func (table *Table) Authenticate(rule *Rule, key string) (*Organisation, error) {
	if !table.definition.KeysRequired && len(table.definition.Organisations) == 0 {
		return nil, nil
	}
	organisation, ok := table.organisationsByKey[sha256.Sum256([]byte(key))]
	if ok && key != "" {
		return organisation, nil
	}
	if rule.Public {
		return nil, nil
	}
	return nil, fail("authenticate", NoKey, "no organisation of version %d holds the key", table.Version())
}

// Weight returns the weight by which an organisation shares capacity that is short; it is 1 unless
// the configuration sets one.
func (table *Table) Weight(organisation definer.OrganisationName) float64 {
	if weight, ok := table.weights[organisation]; ok {
		return weight
	}
	return 1
}

// Tier returns the tier of a request: that of the organisation if it has one, else that of
// the rule. The organisation may be nil.
func (table *Table) Tier(rule *Rule, organisation *Organisation) int {
	if organisation != nil && organisation.HasTier {
		return organisation.Tier
	}
	return rule.Tier
}

// Urgency returns the scheduling priority of a request at an engine; 0 is the most urgent.
// Requests are ordered by the tier of their rule first and by Tier second, so that a request
// is never preempted by one of a rule with a lower tier, whichever organisation sends it.
func (table *Table) Urgency(rule *Rule, organisation *Organisation) int {
	return min(rule.Tier, lowestTier)*urgenciesPerTier + min(table.Tier(rule, organisation), urgenciesPerTier-1)
}

// LastUrgency returns the least urgent value for requests of a rule, for those beyond their
// organisation's share: they come after the others of their tier and before those of lower tiers.
func (table *Table) LastUrgency(rule *Rule) int {
	return min(rule.Tier, lowestTier)*urgenciesPerTier + urgenciesPerTier - 1
}

// DeferredUrgency returns the urgency for those requests of a rule that will miss their
// objective anyway, so that they do not delay others, and whether there is one: only requests
// of the lowest tier at their services may be put behind others.
func (table *Table) DeferredUrgency(rule *Rule) (urgency int, ok bool) {
	for index := range table.definition.Rules {
		other := &table.definition.Rules[index]
		if other.Tier > rule.Tier && rule.sharesService(other) {
			return 0, false
		}
	}
	return lowestUrgency, rule.Tier < lowestTier
}

// sharesService reports whether the rules have a target service in common.
func (rule *Rule) sharesService(other *Rule) bool {
	return slices.ContainsFunc(rule.Targets, func(target Target) bool {
		return slices.ContainsFunc(other.Targets, func(of Target) bool { return of.Service == target.Service })
	})
}

const (
	// lowestUrgency is the least urgent value that engines accept.
	lowestUrgency = urgenciesPerTier*(lowestTier+1) - 1
	// urgenciesPerTier is the number of urgencies of each tier. Engines accept 10 urgencies,
	// and there are up to 5 tiers, of which lowestTier is the lowest.
	urgenciesPerTier = 2
	lowestTier       = 4
)

// TimeLimit returns how long a request of the rule may take; it is the fallback if the rule sets none.
func (rule *Rule) TimeLimit(fallback time.Duration) time.Duration {
	if rule.Timeout > 0 {
		return rule.Timeout
	}
	return fallback
}

// HasTarget reports whether requests of the rule may be sent to the service.
func (rule *Rule) HasTarget(service definer.PoolName) bool {
	return slices.ContainsFunc(rule.Targets, func(target Target) bool { return target.Service == service })
}

// Pick returns the service of the rule's target that a random number between 0 and 1 selects
// by weight.
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
