package router_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/router"
)

func definition() router.Definition {
	target := func(name definer.PoolName) []router.Target {
		return []router.Target{{Service: name, Weight: 1}}
	}
	return router.Definition{
		Version: 3,
		Rules: []router.Rule{
			{Name: "inner", Host: "a.example", PathPrefix: "/x/y/", Targets: target("s1"), MaxAttempts: 1},
			{Name: "outer", Host: "a.example", PathPrefix: "/x/", Targets: target("s2"), MaxAttempts: 2, Tier: 4},
			{Name: "open", Host: "b.example", PathPrefix: "/", Targets: target("s2"), MaxAttempts: 1, Public: true},
		},
		Organisations: []router.Organisation{{Name: "o1", Keys: []string{"k1", "k2"}, Tier: 1, HasTier: true}, {Name: "o2", Keys: []string{"k3"}}},
	}
}

func build(t *testing.T) *router.Table {
	t.Helper()
	table, err := router.New(definition())
	assert.NilError(t, err)
	return table
}

func TestMatchTakesTheFirstRule(t *testing.T) {
	table := build(t)
	cases := []struct{ host, path, rule string }{
		{"a.example", "/x/y/z", "inner"},
		{"A.Example:8080", "/x/z", "outer"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/", ""},
		{"c.example", "/x/", ""},
		{"b.example", "/any", "open"},
	}
	for _, test := range cases {
		rule, err := table.Match(test.host, test.path)
		if test.rule == "" {
			var failure *router.Error
			assert.Assert(t, errors.As(err, &failure) && failure.Kind() == router.NoRule, test.path)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, rule.Name, test.rule)
	}
}

func TestAuthenticate(t *testing.T) {
	table := build(t)
	outer, err := table.Match("a.example", "/x/")
	assert.NilError(t, err)
	open, err := table.Match("b.example", "/")
	assert.NilError(t, err)
	cases := []struct {
		rule         *router.Rule
		key          string
		organisation definer.OrganisationName
		tier         int
		refused      bool
	}{
		{outer, "k2", "o1", 1, false},
		{outer, "k3", "o2", 4, false},
		{outer, "", "", 0, true},
		{outer, "k9", "", 0, true},
		{open, "", "", 0, false},
		{open, "k1", "o1", 1, false},
	}
	for _, test := range cases {
		organisation, err := table.Authenticate(test.rule, test.key)
		assert.Equal(t, err != nil, test.refused, test.key)
		if err != nil {
			continue
		}
		assert.Equal(t, table.Tier(test.rule, organisation), test.tier, test.key)
		if test.organisation != "" {
			assert.Equal(t, organisation.Name, test.organisation)
		}
	}
}

func TestUrgencyOrdersWithinATier(t *testing.T) {
	table := build(t)
	high, low := &router.Rule{Tier: 0}, &router.Rule{Tier: 1}
	gold, silver := &router.Organisation{Tier: 0, HasTier: true}, &router.Organisation{Tier: 1, HasTier: true}
	order := []int{table.Urgency(high, gold), table.Urgency(high, silver), table.Urgency(low, gold), table.Urgency(low, silver)}
	for index := 1; index < len(order); index++ {
		assert.Assert(t, order[index-1] < order[index], "%v", order)
	}
	assert.Assert(t, table.Urgency(high, nil) < table.Urgency(low, nil))
	lowest := table.Urgency(&router.Rule{Tier: 9}, &router.Organisation{Tier: 9, HasTier: true})
	assert.Equal(t, lowest, 9, "engines accept no higher urgency")
}

func TestPickFollowsTheWeights(t *testing.T) {
	rule := router.Rule{Targets: []router.Target{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}}
	counts := make(map[definer.PoolName]int)
	for step := range 1000 {
		counts[rule.Pick(float64(step)/1000)]++
	}
	assert.Equal(t, counts["s1"], 900)
	assert.Equal(t, counts["s2"], 100)
}

func TestNewRejectsWhatCannotBeServed(t *testing.T) {
	for name, spoil := range map[string]func(*router.Rule){
		"no target":   func(rule *router.Rule) { rule.Targets = nil },
		"no attempts": func(rule *router.Rule) { rule.MaxAttempts = 0 },
		"no weight":   func(rule *router.Rule) { rule.Targets[0].Weight = 0 },
	} {
		spoiled := definition()
		spoil(&spoiled.Rules[0])
		_, err := router.New(spoiled)
		assert.Assert(t, err != nil, name)
	}
}

// TestOnlyTheLowestTierIsDeferred checks that requests of a rule can be deferred only if no
// rule has a lower tier, and that they then come after all others.
func TestOnlyTheLowestTierIsDeferred(t *testing.T) {
	target := []router.Target{{Service: "s", Weight: 1}}
	rules := []router.Rule{
		{Name: "high", Tier: 0, MaxAttempts: 1, Targets: target},
		{Name: "low", Tier: 2, MaxAttempts: 1, Targets: target},
	}
	table, err := router.New(router.Definition{Rules: rules})
	assert.NilError(t, err)
	_, ok := table.DeferredUrgency(&rules[0])
	assert.Assert(t, !ok)
	urgency, ok := table.DeferredUrgency(&rules[1])
	assert.Assert(t, ok)
	// Requests beyond their organisation's share come after the others of their tier only.
	assert.Assert(t, table.LastUrgency(&rules[0]) < table.Urgency(&rules[1], nil))
	assert.Assert(t, table.LastUrgency(&rules[1]) < urgency)
	lowest := table.Urgency(&rules[1], &router.Organisation{Tier: 9, HasTier: true})
	assert.Assert(t, urgency > lowest, "%d after %d", urgency, lowest)
	// The tier with the last urgency cannot be deferred, as there is none after it.
	last := []router.Rule{{Name: "last", Tier: 4, MaxAttempts: 1, Targets: target}}
	table, err = router.New(router.Definition{Rules: last})
	assert.NilError(t, err)
	_, ok = table.DeferredUrgency(&last[0])
	assert.Assert(t, !ok)
}

// TestTheLowestTierIsThatOfAService checks that a lower tier counts only if its rule shares a
// service with the rule in question.
func TestTheLowestTierIsThatOfAService(t *testing.T) {
	rules := []router.Rule{
		{Name: "engines", Tier: 1, MaxAttempts: 1, Targets: []router.Target{{Service: "engines", Weight: 1}}},
		{Name: "plain", Tier: 2, MaxAttempts: 1, Targets: []router.Target{{Service: "plain", Weight: 1}}},
		{Name: "both", Tier: 3, MaxAttempts: 1, Targets: []router.Target{{Service: "plain", Weight: 1}, {Service: "other", Weight: 1}}},
	}
	table, err := router.New(router.Definition{Rules: rules})
	assert.NilError(t, err)
	for name, deferrable := range map[int]bool{0: true, 1: false, 2: true} {
		_, ok := table.DeferredUrgency(&rules[name])
		assert.Equal(t, ok, deferrable, rules[name].Name)
	}
}

// TestWeights checks that an organisation counts once in shares of capacity unless the
// configuration gives it a weight above 0.
func TestWeights(t *testing.T) {
	table, err := router.New(router.Definition{Organisations: []router.Organisation{{Name: "heavy", Weight: 2.5}, {Name: "plain"}, {Name: "wrong", Weight: -1}}})
	assert.NilError(t, err)
	for name, weight := range map[definer.OrganisationName]float64{"heavy": 2.5, "plain": 1, "wrong": 1, "unknown": 1} {
		assert.Equal(t, table.Weight(name), weight, "%s", name)
	}
}
