package claimer

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"limpetcleat/definer"
)

// KeyHash returns the hash under which the claim on a key is stored. Equal keys of
// two organisations have different hashes, and the key cannot be derived from its
// hash.
func KeyHash(organisation definer.OrganisationName, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(organisation), organisation, key))
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

const (
	localPrefix = "local."
	// localFields is the number of fields that follow the VM in a local key.
	localFields = 3
)

// LocalKey is an idempotency key issued by one process. Only that process runs
// requests with the key.
type LocalKey struct {
	holder definer.Member
	// issued is the time from the start of the holder to the issue of the key.
	issued time.Duration
	// number is unique among the keys of one process.
	number string
}

// Holder returns the process that issued the key.
func (localKey LocalKey) Holder() definer.Member { return localKey.holder }

// String returns the key in the form that callers send.
func (localKey LocalKey) String() string {
	return fmt.Sprintf("%s%s.%d.%d.%s", localPrefix, localKey.holder.VM, localKey.holder.Incarnation, localKey.issued.Milliseconds(), localKey.number)
}

// IsLocalKey reports whether a key has the prefix that is reserved for local keys.
func IsLocalKey(key string) bool { return strings.HasPrefix(key, localPrefix) }

// ParseLocalKey parses a key that a caller sent and reports whether it is a local key.
func ParseLocalKey(key string) (LocalKey, bool) {
	fields := strings.Split(strings.TrimPrefix(key, localPrefix), ".")
	if !IsLocalKey(key) || len(fields) <= localFields {
		return LocalKey{}, false
	}
	rest := fields[len(fields)-localFields:]
	incarnation, err := strconv.ParseUint(rest[0], 10, 64)
	if err != nil {
		return LocalKey{}, false
	}
	issued, err := strconv.ParseUint(rest[1], 10, 40)
	if err != nil {
		return LocalKey{}, false
	}
	vm := strings.Join(fields[:len(fields)-localFields], ".")
	return LocalKey{
		holder: definer.Member{VM: definer.VM(vm), Incarnation: definer.Incarnation(incarnation)},
		issued: time.Duration(issued) * time.Millisecond,
		number: rest[2],
	}, true
}
