// Package sectioner cuts a configuration into sections that are named by the
// hash of their content, so that a change moves only the sections it touches.
package sectioner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/failer"
	"limpetcleat/messenger"
)

const (
	classesSection      = "classes"
	rulesSection        = "rules"
	limitsSection       = "limits"
	poolPrefix          = "pool/"
	organisationsPrefix = "organisations/"
	// organisationSections is the number of sections that share the
	// organisations; at 1,900 of them one holds about 30.
	organisationSections = 64
	// MaxSection is the size, in bytes, of the largest section.
	MaxSection = 1 << 20
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed marks a section that cannot be encoded or decoded.
	Malformed Kind = "malformed"
	// Incomplete marks a version with a missing or altered section.
	Incomplete Kind = "incomplete"
	// TooLarge marks a section that is larger than the platform keeps.
	TooLarge Kind = "tooLarge"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("sectioner."+operation, kind, format, values...)
}

// Cut returns the sections of a document in a fixed order. The same document
// always gives the same hashes. The error joins all faults.
func Cut(document definer.Document) ([]messenger.SectionSum, []messenger.Section, error) {
	cutter := &cutter{}
	cutter.add(classesSection, document.Classes)
	for index, pool := range document.Pools {
		cutter.add(fmt.Sprintf("%s%04d", poolPrefix, index), pool)
	}
	for index, organisations := range shareOut(document.Organisations) {
		if len(organisations) > 0 {
			cutter.add(fmt.Sprintf("%s%02d", organisationsPrefix, index), organisations)
		}
	}
	cutter.add(rulesSection, document.Rules)
	cutter.add(limitsSection, document.Limits)
	return cutter.sums, cutter.sections, errors.Join(cutter.faults...)
}

// cutter gathers sections and the faults met on the way.
type cutter struct {
	sums     []messenger.SectionSum
	sections []messenger.Section
	faults   []error
}

func (cutter *cutter) add(name string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		cutter.faults = append(cutter.faults, fail("cut", Malformed, "section %s: %w", name, err))
	}
	if len(data) > MaxSection {
		cutter.faults = append(cutter.faults, fail("cut", TooLarge, "section %s has %d bytes; allowed are %d", name, len(data), MaxSection))
	}
	hash := Hash(data)
	cutter.sums = append(cutter.sums, messenger.SectionSum{Name: name, Hash: hash})
	cutter.sections = append(cutter.sections, messenger.Section{Hash: hash, Data: data})
}

// Hash returns the hash that names a section's content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func shareOut(organisations []definer.OrganisationDocument) [organisationSections][]definer.OrganisationDocument {
	var shares [organisationSections][]definer.OrganisationDocument
	for _, organisation := range byName(organisations) {
		index := xxhash.Sum64String(organisation.Name) % organisationSections
		shares[index] = append(shares[index], organisation)
	}
	return shares
}

func byName(organisations []definer.OrganisationDocument) []definer.OrganisationDocument {
	return slices.SortedStableFunc(slices.Values(organisations), func(a, b definer.OrganisationDocument) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Join checks every section against its hash and returns the document, its
// organisations by name. The error is of kind Incomplete or Malformed.
func Join(sums []messenger.SectionSum, sections []messenger.Section) (definer.Document, error) {
	var document definer.Document
	for _, sum := range sums {
		index := slices.IndexFunc(sections, func(section messenger.Section) bool { return section.Hash == sum.Hash })
		if index < 0 || Hash(sections[index].Data) != sum.Hash {
			return definer.Document{}, fail("join", Incomplete, "section %s is missing or altered", sum.Name)
		}
		if err := decode(&document, sum.Name, sections[index].Data); err != nil {
			return definer.Document{}, err
		}
	}
	document.Organisations = byName(document.Organisations)
	return document, nil
}

func decode(document *definer.Document, name string, data []byte) error {
	var err error
	switch {
	case name == classesSection:
		err = json.Unmarshal(data, &document.Classes)
	case name == rulesSection:
		err = json.Unmarshal(data, &document.Rules)
	case name == limitsSection:
		err = json.Unmarshal(data, &document.Limits)
	case strings.HasPrefix(name, poolPrefix):
		var pool definer.PoolDocument
		err = json.Unmarshal(data, &pool)
		document.Pools = append(document.Pools, pool)
	case strings.HasPrefix(name, organisationsPrefix):
		var organisations []definer.OrganisationDocument
		err = json.Unmarshal(data, &organisations)
		document.Organisations = append(document.Organisations, organisations...)
	default:
		return fail("join", Malformed, "section %s is of no known kind", name)
	}
	if err != nil {
		return fail("join", Malformed, "section %s: %w", name, err)
	}
	return nil
}
