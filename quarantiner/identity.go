package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"limpetcleat/definer"
)

// identityVersion begins what is hashed. Nodes that differ in what they hash must differ in
// it, so that none takes another's identity for one of its own.
const identityVersion = "limpetcleat request 1"

// Subject is what makes two requests the same.
type Subject struct {
	// Organisation is the caller's; requests without a key have none and are one caller's.
	Organisation definer.OrganisationName
	Method       string
	Host         string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Identify returns the identity of a request. Each part is hashed behind its length, and the
// organisation comes from the key, so that no caller can make a request that has the
// identity of another organisation's.
func Identify(subject *Subject) definer.RequestIdentity {
	sum := sha256.New()
	write(sum, identityVersion)
	write(sum, string(subject.Organisation))
	write(sum, subject.Method)
	write(sum, strings.ToLower(subject.Host))
	write(sum, subject.Target)
	sum.Write(subject.Body)
	return definer.RequestIdentity(sum.Sum(nil)[:definer.RequestIdentityBytes])
}

// write hashes a text behind its length; a hash takes any write.
func write(sum hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	sum.Write(length[:])
	sum.Write([]byte(text))
}
