// Package runner runs servers, such as stand-ins, on a listener in the current process and reserves
// loopback addresses for them.
package runner

import (
	"context"
	"net"

	"github.com/sourcegraph/conc"

	"limpetcleat/failer"
)

// Loopback selects a free port on the loopback interface.
const Loopback = "127.0.0.1:0"

// Kind classifies an Error.
type Kind string

// NotListening marks a failure to listen on an address or to find a free one.
const NotListening Kind = "notListening"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Server serves the connections of a listener until its context ends or Close is called.
type Server interface {
	Serve(ctx context.Context, listener net.Listener) error
	Close() error
}

// Runner is a running server.
type Runner struct {
	server  Server
	address string
	group   conc.WaitGroup
	// err is what Serve returned; it is set before the group is done.
	err error
}

// Start listens on the address and serves it in the background until the context ends or Stop is
// called. If it cannot listen, it returns an error of kind NotListening.
func Start(ctx context.Context, server Server, address string) (*Runner, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, failer.New("runner.Start", NotListening, "%w", err)
	}
	runner := &Runner{server: server, address: listener.Addr().String()}
	runner.group.Go(func() { runner.err = server.Serve(ctx, listener) })
	return runner, nil
}

// Address returns the listen address with its port.
func (runner *Runner) Address() string { return runner.address }

// Wait waits until Serve has returned and returns its error.
func (runner *Runner) Wait() error {
	runner.group.Wait()
	return runner.err
}

// Stop closes the server and waits until Serve has returned. If Close fails, Stop returns that
// error without waiting; otherwise it returns the error of Serve.
func (runner *Runner) Stop() error {
	if err := runner.server.Close(); err != nil {
		return err
	}
	return runner.Wait()
}
