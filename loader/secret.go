package loader

import (
	"os"
	"strings"
)

// hiddenText is printed in place of a secret.
const hiddenText = "(hidden)"

// Secret is a token given in the settings or in a separate file.
type Secret struct {
	// At most one of text and file is set. The text is a pointer so that printing the settings
	// does not reveal it.
	text *string
	file string
}

// Empty reports whether neither a token nor a file is set.
func (secret Secret) Empty() bool { return secret.text == nil && secret.file == "" }

// Read returns the token, which it reads from the file if one is set; without either it returns an
// empty string. The error is of kind Unreadable or Invalid.
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
	if !isValidToken(token) {
		return "", fail("readSecret", Invalid, "%w", &Fault{file: secret.file, line: 1, name: "the token", found: setting{secret: true}.displayed(token), allowed: describeToken()})
	}
	return token, nil
}

// String returns a placeholder for the token.
func (secret Secret) String() string { return hiddenText }

// GoString returns a placeholder for the token.
func (secret Secret) GoString() string { return hiddenText }

// CheckFiles checks that all files that the settings refer to can be read and that the token files
// contain valid tokens. The error joins an Error of kind Unreadable or Invalid for each file that
// fails.
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
