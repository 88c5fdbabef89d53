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

// KeyHash returns the name of a key in the claims. Keys of two organisations
// never have the same, and the key cannot be told from it.
func KeyHash(organisation definer.OrganisationName, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(organisation), organisation, key))
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

const (
	localPrefix = "local."
	// localFields is the number of fields of a local key after its VM.
	localFields = 3
)

// LocalKey is a key that a process handed out and that only it ever runs.
type LocalKey struct {
	holder definer.Member
	// issued is the time from the holder's start to the key's issue.
	issued time.Duration
	// number tells the keys of one process apart.
	number string
}

// Holder returns the process that the key is bound to.
func (localKey LocalKey) Holder() definer.Member { return localKey.holder }

// String returns the form that callers send.
func (localKey LocalKey) String() string {
	return fmt.Sprintf("%s%s.%d.%d.%s", localPrefix, localKey.holder.VM, localKey.holder.Incarnation, localKey.issued.Milliseconds(), localKey.number)
}

// IsLocal tells whether a key has the form's reserved beginning.
func IsLocal(key string) bool { return strings.HasPrefix(key, localPrefix) }

// ParseLocal returns the local key that a caller sent, if it is one.
func ParseLocal(key string) (LocalKey, bool) {
	fields := strings.Split(strings.TrimPrefix(key, localPrefix), ".")
	if !IsLocal(key) || len(fields) <= localFields {
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
