package selector

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// NoUpstream means that the service has no upstream that may be tried.
	NoUpstream Kind = "noUpstream"
	// Saturated means that all upstreams would serve the request late; the error wraps a
	// Saturation.
	Saturated Kind = "saturated"
	// Limited means that all upstreams have limits without a permit left; the error wraps a
	// Limitation.
	Limited Kind = "limited"
	// BackingOff means that all upstreams have asked for a backoff; the error wraps a
	// Limitation.
	BackingOff Kind = "backingOff"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("selector."+operation, kind, format, values...)
}
