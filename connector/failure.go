package connector

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Unconnected means that no connection could be established; nothing was sent.
	Unconnected Kind = "unconnected"
	// Denied means that no connection may be opened now; nothing was sent. The cause is the error of the
	// Admission.
	Denied Kind = "denied"
	// Unconfirmed means that the request must not be sent any more; nothing was sent. The cause is the error of
	// Outgoing.Confirm.
	Unconfirmed Kind = "unconfirmed"
	// Unsent means that a connection was established and no byte of the request was written to
	// it.
	Unsent Kind = "unsent"
	// Unanswered means that all or part of the request may have been sent and no valid
	// response arrived: the upstream may have processed the request.
	Unanswered Kind = "unanswered"
	// PathLost means that the request was sent, that nothing came, and that the network path to the
	// upstream was lost: the upstream may have processed the request.
	PathLost Kind = "pathLost"
	// Mismatched means that only responses to other requests arrived.
	Mismatched Kind = "mismatched"
	// Broken means that the response body ended early.
	Broken Kind = "broken"
	// TooLarge means that the head of the response exceeds its limit, or its body the limit given to ReadAll.
	TooLarge Kind = "tooLarge"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("connector."+operation, kind, format, values...)
}
