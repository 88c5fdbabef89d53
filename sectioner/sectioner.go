// Package sectioner splits a configuration into sections that are addressed by the hash
// of their content, so that a change transfers only the sections that differ. It also
// compares versions and defines the stored head, which holds their history.
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
	// organisationBuckets is the number of sections over which organisations are
	// distributed by the hash of their names; with 1,900 organisations each section holds
	// about 30.
	organisationBuckets = 64
	// MaxSectionBytes is the largest size of a section in bytes.
	MaxSectionBytes = 1 << 20
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed means that a section or a head cannot be encoded or decoded.
	Malformed Kind = "malformed"
	// Incomplete means that a section of a version is missing or does not match its hash,
	// or that the history does not hold the version.
	Incomplete Kind = "incomplete"
	// TooLarge means that a section is larger than MaxSectionBytes, the most that the platform
	// stores.
	TooLarge Kind = "tooLarge"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("sectioner."+operation, kind, format, values...)
}

// Split splits a document into sections and returns their names with their hashes, and
// their contents, both in the same fixed order. Equal documents have equal hashes. The
// error joins the errors of all sections that are Malformed or TooLarge.
func Split(document definer.Document) ([]messenger.SectionSum, []messenger.Section, error) {
	builder := &builder{}
	builder.add(classesSection, document.Classes)
	for index, pool := range document.Pools {
		builder.add(fmt.Sprintf("%s%04d", poolPrefix, index), pool)
	}
	for index, organisations := range partitionOrganisations(document.Organisations) {
		if len(organisations) > 0 {
			builder.add(fmt.Sprintf("%s%02d", organisationsPrefix, index), organisations)
		}
	}
	builder.add(rulesSection, document.Rules)
	builder.add(limitsSection, document.Limits)
	return builder.sums, builder.sections, errors.Join(builder.errs...)
}

// builder collects sections and the errors found while they are encoded.
type builder struct {
	sums     []messenger.SectionSum
	sections []messenger.Section
	errs     []error
}

// add encodes content as the section of the given name.
func (builder *builder) add(name string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		builder.errs = append(builder.errs, fail("cut", Malformed, "section %s: %w", name, err))
	}
	if len(data) > MaxSectionBytes {
		builder.errs = append(builder.errs, fail("cut", TooLarge, "section %s has %d bytes; at most %d are allowed", name, len(data), MaxSectionBytes))
	}
	hash := Hash(data)
	builder.sums = append(builder.sums, messenger.SectionSum{Name: name, Hash: hash})
	builder.sections = append(builder.sections, messenger.Section{Hash: hash, Data: data})
}

// Hash returns the hash by which a section's content is addressed: SHA-256 in
// hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// partitionOrganisations distributes organisations over the buckets by the hash of their
// names; each bucket is sorted by name.
func partitionOrganisations(organisations []definer.OrganisationDocument) [organisationBuckets][]definer.OrganisationDocument {
	var buckets [organisationBuckets][]definer.OrganisationDocument
	for _, organisation := range sortedByName(organisations) {
		index := xxhash.Sum64String(organisation.Name) % organisationBuckets
		buckets[index] = append(buckets[index], organisation)
	}
	return buckets
}

// sortedByName returns a copy of organisations sorted by name.
func sortedByName(organisations []definer.OrganisationDocument) []definer.OrganisationDocument {
	return slices.SortedStableFunc(slices.Values(organisations), func(a, b definer.OrganisationDocument) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Join reverses Split: it checks each section against its hash and returns the document,
// with its organisations sorted by name. The error is of kind Incomplete or Malformed.
func Join(sums []messenger.SectionSum, sections []messenger.Section) (definer.Document, error) {
	var document definer.Document
	for _, sum := range sums {
		index := slices.IndexFunc(sections, func(section messenger.Section) bool { return section.Hash == sum.Hash })
		if index < 0 || Hash(sections[index].Data) != sum.Hash {
			return definer.Document{}, fail("join", Incomplete, "section %s is missing or does not match its hash", sum.Name)
		}
		if err := decodeSection(&document, sum.Name, sections[index].Data); err != nil {
			return definer.Document{}, err
		}
	}
	document.Organisations = sortedByName(document.Organisations)
	return document, nil
}

// decodeSection decodes the section of the given name into document.
func decodeSection(document *definer.Document, name string, data []byte) error {
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
		return fail("join", Malformed, "section %s has an unknown name", name)
	}
	if err != nil {
		return fail("join", Malformed, "section %s: %w", name, err)
	}
	return nil
}
