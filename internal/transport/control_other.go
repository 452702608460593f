//go:build !linux

package transport

import (
	"syscall"
	"time"
)

// userTimeoutControl returns nil on platforms without TCP_USER_TIMEOUT. Keepalive
// probes and the idle timeouts of the streams still detect dead connections.
func userTimeoutControl(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
