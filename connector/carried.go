package connector

import (
	"hash/maphash"
	"slices"
)

// maxExchanges bounds the exchanges of a connection, and so the memory for the ids of their requests.
const maxExchanges = 256

// requestKey stands for the id of a request. Requests with different ids may have the same key, which costs a new
// connection.
type requestKey uint32

// key returns the key of a request with the id.
func (connector *Connector) key(id string) requestKey {
	return requestKey(maphash.String(connector.seed, id)) // Its lower half.
}

// hasCarried reports whether the connection has carried a request with the key. A response names the id of its
// request only: on such a connection, a surplus response to that request would pass for the answer to the next one
// with the same id.
func (connection *connection) hasCarried(key requestKey) bool {
	return slices.Contains(connection.carried, key)
}

// carry records that an exchange with the request begins on the connection.
func (connection *connection) carry(key requestKey) {
	connection.carried = append(connection.carried, key)
}

// exchanges returns the number of exchanges that have begun on the connection.
func (connection *connection) exchanges() int { return len(connection.carried) }
