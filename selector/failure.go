package selector

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// NoUpstream marks a service without an upstream that may be tried.
	NoUpstream Kind = "noUpstream"
	// Saturated marks a service whose upstreams would all serve the request late; it
	// wraps a Saturation.
	Saturated Kind = "saturated"
	// Limited marks a service whose upstreams all have a limit that is used up; it wraps a
	// Limitation.
	Limited Kind = "limited"
	// BackingOff marks a service whose upstreams have all asked for a backoff; it wraps a Limitation.
	BackingOff Kind = "backingOff"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("selector."+operation, kind, format, values...)
}
