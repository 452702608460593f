package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control returns a socket hook that sets TCP_USER_TIMEOUT. An accepted
// connection inherits it from its listener.
func control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
