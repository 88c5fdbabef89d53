// Package ranker implements rendezvous hashing (highest random weight): it ranks names for a
// key, so that all nodes compute the same order without communication. Keys are spread evenly
// over the names.
package ranker

import "hash/fnv"

// Weight returns the weight of a name for a key. The name with the highest weight is the first
// choice for the key; each name is the first choice for about as many keys as any other.
func Weight(key, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // A hash's Write never fails.
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// Combine returns the weight of a name for a key from a hash of each. It saves hashing all names
// again for each key.
func Combine(key, name uint64) uint64 { return mix(mix(key) ^ name) }

// mix spreads the bits of an FNV sum with the finaliser of MurmurHash3: FNV leaves the high
// bits alike for texts that differ only at their end.
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
