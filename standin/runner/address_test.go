package runner

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReservedAddressesAreGivenOnce checks that a component can listen on its
// reserved address, and that the address stays reserved while the component is down.
func TestReservedAddressesAreGivenOnce(t *testing.T) {
	reservation, err := Reserve(t.Context())
	assert.NilError(t, err)
	for range 2 {
		listener, err := net.Listen("tcp", reservation.Address())
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		_, err = reserve(t.Context(), reservation.Address())
		assert.Assert(t, err != nil, "%s was reserved twice", reservation.Address())
	}
	assert.NilError(t, reservation.Close())
	again, err := reserve(t.Context(), reservation.Address())
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
