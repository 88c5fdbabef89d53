package sectioner_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// randomDocument returns a random document; equal seeds give equal documents.
func randomDocument(random *rand.Rand) definer.Document {
	document := definer.Document{Classes: []definer.ClassDocument{{Name: "desk", Tier: random.IntN(3)}}}
	for index := range random.IntN(14) {
		document.Pools = append(document.Pools, definer.PoolDocument{Name: fmt.Sprint(index), Kind: fmt.Sprint(random.IntN(2))})
	}
	for index := range random.IntN(300) {
		if random.IntN(2) == 0 {
			document.Organisations = append(document.Organisations, definer.OrganisationDocument{Name: fmt.Sprintf("o%03d", index), Weight: float64(random.IntN(2))})
		}
	}
	return document
}

// TestCutJoinDifferenceAndAmend checks with random documents that Join reverses Split,
// and that Apply applies what Difference returns.
func TestCutJoinDifferenceAndAmend(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := []messenger.SectionSum{}
	for range 200 {
		document := randomDocument(random)
		sums, sections, err := sectioner.Split(document)
		assert.NilError(t, err)
		joined, err := sectioner.Join(sums, sections)
		assert.NilError(t, err)
		assert.DeepEqual(t, joined, document)
		changed, removed := sectioner.Difference(base, sums)
		assert.DeepEqual(t, sectioner.Apply(base, changed, removed), sums)
		base = sums
	}
}

// TestJoinRefusesWhatIsNotWhole checks the kind of error for sections that are missing,
// altered, not JSON or of an unknown name.
func TestJoinRefusesWhatIsNotWhole(t *testing.T) {
	sums, sections, err := sectioner.Split(randomDocument(rand.New(rand.NewPCG(3, 4))))
	assert.NilError(t, err)
	cases := []struct {
		name  string
		alter func(sums []messenger.SectionSum, sections []messenger.Section) ([]messenger.SectionSum, []messenger.Section)
		kind  sectioner.Kind
	}{
		{"missing", func(sums []messenger.SectionSum, sections []messenger.Section) ([]messenger.SectionSum, []messenger.Section) {
			return sums, sections[1:]
		}, sectioner.Incomplete},
		{"altered", func(sums []messenger.SectionSum, sections []messenger.Section) ([]messenger.SectionSum, []messenger.Section) {
			return sums, append([]messenger.Section{{Hash: sections[0].Hash, Data: []byte("[]")}}, sections[1:]...)
		}, sectioner.Incomplete},
		{"no JSON", func(_ []messenger.SectionSum, _ []messenger.Section) ([]messenger.SectionSum, []messenger.Section) {
			hash := sectioner.Hash([]byte("{"))
			return []messenger.SectionSum{{Name: "rules", Hash: hash}}, []messenger.Section{{Hash: hash, Data: []byte("{")}}
		}, sectioner.Malformed},
		{"unknown", func(_ []messenger.SectionSum, _ []messenger.Section) ([]messenger.SectionSum, []messenger.Section) {
			hash := sectioner.Hash([]byte("{}"))
			return []messenger.SectionSum{{Name: "rulez", Hash: hash}}, []messenger.Section{{Hash: hash, Data: []byte("{}")}}
		}, sectioner.Malformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			altered, contents := test.alter(sums, sections)
			_, err := sectioner.Join(altered, contents)
			failure, ok := err.(*sectioner.Error) //nolint:errorlint // Join returns its own type.
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, failure.Kind(), test.kind)
		})
	}
}

// TestCutTellsAllSectionsThatAreTooLarge checks that the error names every section that
// is too large, not only the first.
func TestCutTellsAllSectionsThatAreTooLarge(t *testing.T) {
	long := strings.Repeat("x", sectioner.MaxSectionBytes)
	_, _, err := sectioner.Split(definer.Document{
		Classes: []definer.ClassDocument{{Name: long}},
		Rules:   []definer.RuleDocument{{Name: long}},
	})
	assert.ErrorContains(t, err, "section classes has")
	assert.ErrorContains(t, err, "section rules has")
}
