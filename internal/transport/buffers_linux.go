package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// control is a Control function of a net.Dialer or net.ListenConfig.
type control = func(network, address string, c syscall.RawConn) error

// bufferControl returns a control that bounds the socket's buffers, in bytes, and then calls next. An accepted connection
// inherits the bounds from its listener. Zero means no bound.
func bufferControl(send, receive int, next control) control {
	if send == 0 && receive == 0 {
		return next
	}
	return func(network, address string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) { optionErr = setBuffers(int(fd), send, receive) })
		if err == nil {
			err = optionErr
		}
		if err != nil {
			return err
		}
		return next(network, address, c)
	}
}

// setBuffers bounds the buffers of a socket. The kernel doubles the sizes, for its own bookkeeping.
func setBuffers(fd, send, receive int) error {
	for _, buffer := range []struct{ option, size int }{{unix.SO_SNDBUF, send}, {unix.SO_RCVBUF, receive}} {
		if buffer.size == 0 {
			continue
		}
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, buffer.option, buffer.size); err != nil {
			return err
		}
	}
	return nil
}
