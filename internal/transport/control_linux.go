package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a net.Dialer and net.ListenConfig Control function
// that sets TCP_USER_TIMEOUT. An accepted connection inherits it from its
// listener.
func userTimeoutControl(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, timeout) }
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
