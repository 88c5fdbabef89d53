// Package darkener makes single connections carry nothing in one direction, as a lost network path does. It
// needs no privileges.
package darkener

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Darken makes the kernel drop, without an acknowledgement, all that arrives on a connection.
func Darken(conn syscall.Conn) error {
	discard := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	return control(conn, func(descriptor int) error {
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &discard})
	})
}

// Brighten ends what Darken began.
func Brighten(conn syscall.Conn) error {
	return control(conn, func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

func control(conn syscall.Conn, change func(descriptor int) error) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) { failure = change(int(descriptor)) })
	return errors.Join(err, failure)
}
