package inquirer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstRequestIsNotHeldByItsQuestion guards against a request that is held up to 500 ms after its caller has left
// or its time limit has passed, since it was the first to ask.
func TestFirstRequestIsNotHeldByItsQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inquirer := New()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		began := time.Now()
		assert.Check(t, !inquirer.Ask(ctx, t.Context(), subject("u"), func(ctx context.Context) bool {
			<-ctx.Done()
			return false
		}))
		assert.Check(t, time.Since(began) < 30*time.Millisecond, "returned after %v", time.Since(began))
	})
}
