package versioner

import (
	"crypto/sha256"
	"encoding/binary"

	"limpetcleat/definer"
)

// identityVersion is the first part of the hashed data; versions of the software that hash other data
// must use another one.
const identityVersion = "limpetcleat stream 1"

// Identify returns the identity of the stream that an attempt of an organisation's caller began. It is
// empty if the attempt is. Callers cannot forge the identity of another organisation's stream.
func Identify(organisation definer.OrganisationName, attempt string) definer.StreamIdentity {
	if attempt == "" {
		return ""
	}
	data := binary.BigEndian.AppendUint64([]byte(identityVersion), uint64(len(organisation)))
	data = append(data, organisation...)
	sum := sha256.Sum256(append(data, attempt...))
	return definer.StreamIdentity(sum[:definer.StreamIdentityBytes])
}
