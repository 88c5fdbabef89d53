package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"limpetcleat/definer"
)

// identityVersion is the first part of the hashed data. Versions of the software that hash other
// data must use another identityVersion, so that no node takes an identity computed by another
// version for one of its own.
const identityVersion = "limpetcleat request 1"

// RequestParts holds the parts of a request that its identity is computed from. Two requests with
// equal parts are the same request.
type RequestParts struct {
	// Organisation is the caller's organisation. Requests without an API key have none and share
	// the empty organisation.
	Organisation definer.OrganisationName
	Method       string
	Host         string
	// Target is the path with the query string.
	Target string
	Body   []byte
}

// Identify returns the identity of a request. Each part is preceded by its length in the hash,
// and the organisation is derived from the API key, so that no caller can forge the identity of
// another organisation's request.
func Identify(subject *RequestParts) definer.RequestIdentity {
	sum := sha256.New()
	write(sum, identityVersion)
	write(sum, string(subject.Organisation))
	write(sum, subject.Method)
	write(sum, strings.ToLower(subject.Host))
	write(sum, subject.Target)
	sum.Write(subject.Body)
	return definer.RequestIdentity(sum.Sum(nil)[:definer.RequestIdentityBytes])
}

// partVersion is for parts what identityVersion is for requests.
const partVersion = "limpetcleat prompt part 1"

// IdentifyPart returns the identity of a part of prompts that are sent to a service, which is the same for
// all organisations and whatever else the prompts hold.
func IdentifyPart(service definer.PoolName, part string) definer.RequestIdentity {
	sum := sha256.New()
	write(sum, partVersion)
	write(sum, string(service))
	write(sum, part)
	return definer.RequestIdentity(sum.Sum(nil)[:definer.RequestIdentityBytes])
}

// write hashes the length of a text and the text. Writing to a hash never fails.
func write(sum hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	sum.Write(length[:])
	sum.Write([]byte(text))
}
