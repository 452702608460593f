//go:build !linux

package transport

import (
	"syscall"
	"time"
)

// control does nothing where TCP_USER_TIMEOUT does not exist: keepalive probes
// and the idle limits of the streams remain.
func control(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
