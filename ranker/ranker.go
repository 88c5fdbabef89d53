// Package ranker orders things for a key so that all nodes find the same order without
// agreeing on it (rendezvous hashing).
package ranker

import "hash/fnv"

// Weight returns the weight of a name for a key: the name with the highest goes first, and
// each is the first one for as many keys as any other.
func Weight(key, name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // A hash's Write never fails.
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name))
	return mix(hash.Sum64())
}

// mix spreads the bits of a sum, of which FNV leaves the high ones alike for
// texts that differ at their end (the finaliser of MurmurHash3).
func mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
