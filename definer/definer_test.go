package definer_test

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// keyHash returns a hexadecimal SHA-256 hash that consists of one repeated digit.
func keyHash(digit string) string { return strings.Repeat(digit, 64) }

// validDocument returns a document that passes all checks of Build.
func validDocument() definer.Document {
	return definer.Document{
		Classes: []definer.ClassDocument{
			{Name: "desk", Protected: true, FirstTokenMs: 500, Attainment: 0.99, FloorShare: 0.7, LongestWaitMs: 1000},
			{Name: "digest", Tier: 2, Preemptible: true, Attainment: 0.9, FloorShare: 0.2, LongestWaitMs: 600_000},
			{Name: "other", Tier: 1, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 1},
		},
		Pools: []definer.PoolDocument{
			{Name: "models", Kind: "engine", ProtectedShare: 0.3, Upstreams: []definer.UpstreamDocument{
				{Name: "e1", DataCentre: "north", Address: "10.0.0.1:80", Models: []string{"a", "b"}, Slots: 4, MaxSlots: 8},
				{Name: "e2", DataCentre: "south", Address: "10.0.0.2:80", Models: []string{"b", "c"}, Slots: 4},
			}},
			{Name: "stock", Kind: "service", Upstreams: []definer.UpstreamDocument{{Name: "s1", DataCentre: "north", Address: "[::1]:80", Slots: 1}}},
		},
		Organisations: []definer.OrganisationDocument{{Name: "buttons", KeyHashes: []string{keyHash("A"), keyHash("b")}, Weight: 2}, {Name: "pubs"}},
		Rules: []definer.RuleDocument{
			{Name: "keyed", When: "true", Then: definer.ActionDocument{Class: "desk", Pool: "stock", Repeat: "keyed", LocalKeys: true}},
			{Name: "no", When: "true", Then: definer.ActionDocument{Refuse: "not here"}},
		},
		Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 60_000},
	}
}

func TestGoodConfiguration(t *testing.T) {
	configuration, err := definer.Build(7, validDocument())
	assert.NilError(t, err)
	assert.Equal(t, configuration.Version(), uint64(7))
	assert.DeepEqual(t, configuration.Models(), []string{"a", "b", "c"})
	var classes []definer.ClassName
	for _, class := range configuration.Classes() {
		classes = append(classes, class.Name())
	}
	assert.DeepEqual(t, classes, []definer.ClassName{"desk", "other", "digest"})
	organisation, ok := configuration.OrganisationByKeyHash(keyHash("a"))
	assert.Assert(t, ok, "a key hash in upper case was not found in lower case")
	assert.Equal(t, organisation.Name(), definer.OrganisationName("buttons"))
	pool, _ := configuration.Pool("models")
	assert.DeepEqual(t, pool.DataCentres(), []definer.DataCentre{"north", "south"})
	assert.Equal(t, len(pool.UpstreamsIn("south")), 1)
	assert.Equal(t, pool.Upstreams()[1].MaxSlots(), 4)
	assert.Equal(t, configuration.Rules()[1].Repeat(), definer.Idempotent)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		fault      string
		invalidate func(document *definer.Document)
	}{
		{`class "": its name must have`, func(document *definer.Document) { document.Classes[2].Name = "" }},
		{`class "desk" stands twice`, func(document *definer.Document) { document.Classes[2].Name = "desk" }},
		{`tier is 100`, func(document *definer.Document) { document.Classes[0].Tier = 100 }},
		{`floorShare is -1`, func(document *definer.Document) { document.Classes[0].FloorShare = -1 }},
		{`floorShare is NaN`, func(document *definer.Document) { document.Classes[0].FloorShare = math.NaN() }},
		{`floorShare of all classes adds up to`, func(document *definer.Document) { document.Classes[2].FloorShare = 0.2 }},
		{`attainment is 1`, func(document *definer.Document) { document.Classes[0].Attainment = 1 }},
		{`longestWaitMs is 0`, func(document *definer.Document) { document.Classes[0].LongestWaitMs = 0 }},
		{`longestWaitMs is 9223372036854775807`, func(document *definer.Document) { document.Classes[0].LongestWaitMs = math.MaxInt }},
		{`cannot be preemptible`, func(document *definer.Document) { document.Classes[0].Preemptible = true }},
		{`firstTokenMs is -1`, func(document *definer.Document) { document.Classes[0].FirstTokenMs = -1 }},
		{`betweenTokensMs is -1`, func(document *definer.Document) { document.Classes[0].BetweenTokensMs = -1 }},
		{`totalMs is -1`, func(document *definer.Document) { document.Classes[0].TotalMs = -1 }},
		{`pool "models" stands twice`, func(document *definer.Document) { document.Pools[1].Name = "models" }},
		{`kind is "car"`, func(document *definer.Document) { document.Pools[0].Kind = "car" }},
		{`protectedShare is 2`, func(document *definer.Document) { document.Pools[0].ProtectedShare = 2 }},
		{`upstream "e1" stands twice`, func(document *definer.Document) { document.Pools[1].Upstreams[0].Name = "e1" }},
		{`dataCentre is missing`, func(document *definer.Document) { document.Pools[0].Upstreams[0].DataCentre = "" }},
		{`address is "localhost:80"`, func(document *definer.Document) { document.Pools[0].Upstreams[0].Address = "localhost:80" }},
		{`slots is 0`, func(document *definer.Document) { document.Pools[0].Upstreams[0].Slots = 0 }},
		{`maxSlots is 5000`, func(document *definer.Document) { document.Pools[0].Upstreams[0].MaxSlots = 5000 }},
		{`organisation "pubs" stands twice`, func(document *definer.Document) { document.Organisations[0].Name = "pubs" }},
		{`weight is 1001`, func(document *definer.Document) { document.Organisations[0].Weight = 1001 }},
		{`requestsPerSecond is +Inf`, func(document *definer.Document) { document.Organisations[0].RequestsPerSecond = math.Inf(1) }},
		{`is not a SHA-256 sum`, func(document *definer.Document) { document.Organisations[0].KeyHashes[0] = "abc" }},
		{`belongs to another organisation`, func(document *definer.Document) { document.Organisations[1].KeyHashes = []string{keyHash("B")} }},
		{`rule "no" stands twice`, func(document *definer.Document) { document.Rules[0].Name = "no" }},
		{`has no class or pool`, func(document *definer.Document) { document.Rules[1].Then.Class = "desk" }},
		{`class "none" does not exist`, func(document *definer.Document) { document.Rules[0].Then.Class = "none" }},
		{`pool "none" does not exist`, func(document *definer.Document) { document.Rules[0].Then.Pool = "none" }},
		{`repeat is "twice"`, func(document *definer.Document) { document.Rules[0].Then.Repeat = "twice" }},
		{`deadlineMs is -1`, func(document *definer.Document) { document.Rules[0].Then.DeadlineMs = -1 }},
		{`retryShare is 3`, func(document *definer.Document) { document.Limits.RetryShare = 3 }},
		{`claimKeepMs is -1`, func(document *definer.Document) { document.Limits.ClaimKeepMs = -1 }},
	}
	for _, test := range cases {
		t.Run(test.fault, func(t *testing.T) {
			document := validDocument()
			test.invalidate(&document)
			_, err := definer.Build(1, document)
			assert.ErrorContains(t, err, test.fault)
			var failure *definer.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Kind(), definer.Invalid)
		})
	}
}

func TestAllFaultsAreToldAtOnce(t *testing.T) {
	document := validDocument()
	document.Classes[0].Attainment = 2
	document.Pools[0].Kind = "car"
	document.Organisations[0].Weight = -1
	document.Rules[0].Then.Pool = "none"
	document.Limits.RetryShare = -1
	_, err := definer.Build(1, document)
	var joined interface{ Unwrap() []error }
	assert.Assert(t, errors.As(err, &joined))
	assert.Equal(t, len(joined.Unwrap()), 5)
}

func TestParseRefuses(t *testing.T) {
	for _, data := range []string{"", "{", "[]", "null null", `{"clases":[]}`, `{"classes":[{"nme":"a"}]}`, `{"classes":[{"tier":"0"}]}`, `{} {}`} {
		_, err := definer.Parse(1, []byte(data))
		var failure *definer.Error
		assert.Assert(t, errors.As(err, &failure), data)
		assert.Equal(t, failure.Kind(), definer.Malformed, data)
	}
}

// FuzzParse checks that a valid configuration is unchanged after it is encoded and parsed
// again.
func FuzzParse(f *testing.F) {
	data, err := json.Marshal(validDocument())
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"classes":[{"name":"a","attainment":0.5,"longestWaitMs":1}],"limits":{}}`))
	f.Add([]byte(`{"rules":[{"name":"a","then":{"refuse":"b"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		configuration, err := definer.Parse(1, data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(configuration.Document())
		assert.NilError(t, err)
		reparsed, err := definer.Parse(1, encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, reparsed.Document(), configuration.Document())
	})
}
