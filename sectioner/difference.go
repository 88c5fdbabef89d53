package sectioner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"limpetcleat/messenger"
)

// digestBytes is the length of a digest in bytes, before it is encoded in hexadecimal.
const digestBytes = 16

// Digest returns a hash that identifies a version of the configuration: the first
// digestBytes bytes, in hexadecimal, of the SHA-256 hash of the names and hashes of its
// sections in order.
func Digest(sums []messenger.SectionSum) string {
	hash := sha256.New()
	for _, sum := range sums {
		hash.Write([]byte(sum.Name + "\x00" + sum.Hash + "\n"))
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// Difference returns the sections of next that base lacks or holds with another hash,
// and the names of the sections that only base has.
func Difference(base, next []messenger.SectionSum) (changed []messenger.SectionSum, removed []string) {
	before := make(map[string]string, len(base))
	for _, sum := range base {
		before[sum.Name] = sum.Hash
	}
	for _, sum := range next {
		if before[sum.Name] != sum.Hash {
			changed = append(changed, sum)
		}
		delete(before, sum.Name)
	}
	for _, sum := range base {
		if _, ok := before[sum.Name]; ok {
			removed = append(removed, sum.Name)
		}
	}
	return changed, removed
}

// Apply applies the result of Difference to base: it returns the sections of next, in
// the order of Split.
func Apply(base, changed []messenger.SectionSum, removed []string) []messenger.SectionSum {
	var next []messenger.SectionSum
	for _, sum := range base {
		same := func(other messenger.SectionSum) bool { return other.Name == sum.Name }
		if !slices.Contains(removed, sum.Name) && !slices.ContainsFunc(changed, same) {
			next = append(next, sum)
		}
	}
	next = append(next, changed...)
	slices.SortStableFunc(next, func(a, b messenger.SectionSum) int {
		return cmp.Or(cmp.Compare(rank(a.Name), rank(b.Name)), strings.Compare(a.Name, b.Name))
	})
	return next
}

// rank returns the position of a section's group in the order of Split.
func rank(name string) int {
	switch {
	case name == classesSection:
		return 0
	case strings.HasPrefix(name, poolPrefix):
		return 1
	case strings.HasPrefix(name, organisationsPrefix):
		return 2
	case name == rulesSection:
		return 3
	default:
		return 4
	}
}
