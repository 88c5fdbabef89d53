package runner

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReservedAddressesAreGivenOnce holds that an address stays reserved while the
// part that uses it is down, and that the part can listen there meanwhile.
func TestReservedAddressesAreGivenOnce(t *testing.T) {
	reservation, err := Reserve(t.Context())
	assert.NilError(t, err)
	for range 2 {
		listener, err := net.Listen("tcp", reservation.Address())
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		_, err = reserve(t.Context(), reservation.Address())
		assert.Assert(t, err != nil, "%s was given twice", reservation.Address())
	}
	assert.NilError(t, reservation.Close())
	again, err := reserve(t.Context(), reservation.Address())
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
