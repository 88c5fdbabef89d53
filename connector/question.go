package connector

import (
	"context"
	"net/http"
)

// Ask sends a GET request for a target to the address and returns the status and the header of the response, whose
// body is not read. The response names no request, so that the connection is opened for it, if that is admitted, and
// closed after it. The error is of kind Denied, Unconnected, Unanswered or TooLarge.
func (connector *Connector) Ask(ctx context.Context, address, target string, admission Admission) (status int, header http.Header, err error) {
	connector.noteLimited(address, admission != nil)
	if admission != nil {
		connector.Drop(address) // Idle connections may use up the leave.
	}
	pass, err := admit(ctx, admission)
	if err != nil {
		return 0, nil, fail("ask", Denied, "%w", err)
	}
	connection, err := connector.openWith(ctx, address, pass)
	if err != nil {
		return 0, nil, err
	}
	defer connection.heads.Reset()
	defer func() { _ = connection.Close() }() // Nothing more is expected on it.
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	outgoing := &Outgoing{Method: http.MethodGet, Target: target, Host: address, Header: http.Header{"Connection": {"close"}}}
	if err := connection.send(newRequest(outgoing), outgoing); err != nil {
		connection.noteReset(err)
		return 0, nil, fail("ask", Unanswered, "%w", err)
	}
	for range maxInterimAnswers {
		answer, err := connection.readHead()
		if err != nil {
			connection.noteReset(err)
			return 0, nil, err
		}
		if !isInterim(answer.StatusCode) {
			return answer.StatusCode, answer.Header, nil
		}
	}
	return 0, nil, fail("ask", Unanswered, "received only interim responses")
}
