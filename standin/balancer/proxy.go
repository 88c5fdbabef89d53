package balancer

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/sourcegraph/conc"
)

// Error is a failure of the balancer's own listener.
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

// proxy copies in both directions until both ends have finished sending, one
// fails, or the context ends. It closes both connections.
func proxy(ctx context.Context, client, backend net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		<-ctx.Done()
		_ = client.Close()
		_ = backend.Close()
	})
	var copiers conc.WaitGroup
	copiers.Go(func() { copyOneWay(backend, client, cancel) })
	copiers.Go(func() { copyOneWay(client, backend, cancel) })
	copiers.Wait()
	cancel()
	workers.Wait()
}

// copyOneWay copies until the source ends and then half-closes the target. On an
// error it calls abort, which closes both connections.
func copyOneWay(target, source net.Conn, abort context.CancelFunc) {
	if _, err := io.Copy(target, source); err != nil {
		abort()
		return
	}
	closer, ok := target.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		abort()
	}
}
