package loader

import (
	"os"
	"strings"
)

// hiddenText stands for a secret wherever it would be printed.
const hiddenText = "(hidden)"

// Secret is a token that stands in the settings or in a file of its own.
type Secret struct {
	// At most one of text and file is set. The text is behind a pointer, so
	// that printing the settings does not print it.
	text *string
	file string
}

// Empty tells whether there is no secret.
func (secret Secret) Empty() bool { return secret.text == nil && secret.file == "" }

// Read returns the token, from its file if it has one. The error is of kind
// Unreadable or Invalid.
func (secret Secret) Read() (string, error) {
	if secret.text != nil {
		return *secret.text, nil
	}
	if secret.file == "" {
		return "", nil
	}
	data, err := os.ReadFile(secret.file)
	if err != nil {
		return "", fail("readSecret", Unreadable, "%w", err)
	}
	token := strings.TrimSpace(string(data))
	if !isToken(token) {
		return "", fail("readSecret", Invalid, "%w", &Fault{file: secret.file, line: 1, name: "the token", found: setting{secret: true}.shown(token), allowed: tokenAllowed()})
	}
	return token, nil
}

// String returns a mark in place of the token.
func (secret Secret) String() string { return hiddenText }

// GoString returns a mark in place of the token.
func (secret Secret) GoString() string { return hiddenText }

// CheckFiles tells whether all files that the settings name can be read; the
// error joins one of kind Unreadable or Invalid for each that cannot.
func (settings *Settings) CheckFiles() error {
	var faults []error
	for _, secret := range []Secret{settings.operators.secret, settings.platform.secret} {
		if _, err := secret.Read(); err != nil {
			faults = append(faults, err)
		}
	}
	inner, callers := &settings.inner, &settings.callers
	for _, path := range []string{inner.tlsCertificate, inner.tlsKey, inner.tlsAuthority, callers.tlsCertificate, callers.tlsKey} {
		if path == "" {
			continue
		}
		if _, err := os.ReadFile(path); err != nil {
			faults = append(faults, fail("checkFiles", Unreadable, "%w", err))
		}
	}
	return joinFaults(faults)
}
