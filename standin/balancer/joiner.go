package balancer

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/sourcegraph/conc"
)

// Error is a failure of the balancer itself.
type Error struct {
	Operation string
	Err       error
}

// Error returns the operation and the cause.
func (err *Error) Error() string {
	return fmt.Sprintf("balancer %s: %v", err.Operation, err.Err)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Err
}

// join copies both ways until both ends are done, one breaks, or the context
// ends.
func join(ctx context.Context, caller, backend net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		<-ctx.Done()
		_ = caller.Close()
		_ = backend.Close()
	})
	var copiers conc.WaitGroup
	copiers.Go(func() { copyOne(backend, caller, cancel) })
	copiers.Go(func() { copyOne(caller, backend, cancel) })
	copiers.Wait()
	cancel()
	workers.Wait()
}

// copyOne copies until the source ends and passes the end on. A broken end
// breaks the other too.
func copyOne(target, source net.Conn, broken context.CancelFunc) {
	if _, err := io.Copy(target, source); err != nil {
		broken()
		return
	}
	closer, ok := target.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		broken()
	}
}
