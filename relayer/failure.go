package relayer

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// NoPeer means that no peer could be asked.
	NoPeer Kind = "noPeer"
	// Unreachable means that no peer that was asked reaches the upstream.
	Unreachable Kind = "unreachable"
	// Refused means that the peers that were asked do not relay at present.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("relayer."+operation, kind, format, values...)
}
