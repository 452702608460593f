package transport

import (
	"net"
	"time"
)

// Limits configures how soon a connection to an unresponsive peer is closed.
type Limits struct {
	// Connect bounds the TCP handshake. The default is 2s.
	Connect time.Duration
	// KeepAliveIdle is how long a connection may be idle before the kernel
	// probes it. The default is 5s.
	KeepAliveIdle time.Duration
	// KeepAliveInterval is the time between probes. The default is 2s.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which the kernel
	// closes the connection. The default is 3.
	KeepAliveCount int
	// UserTimeout bounds how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT, RFC 5482). The default is 6s.
	UserTimeout time.Duration
	// SocketBuffer bounds the kernel's send buffer and its receive buffer of a connection, each, in bytes. Zero leaves them to
	// the kernel, which lets them grow to some MB.
	SocketBuffer int
	// ReceiveBuffer bounds the kernel's receive buffer of a connection instead of SocketBuffer, in bytes. The default is
	// SocketBuffer.
	ReceiveBuffer int
}

// The defaults of Limits.
const (
	DefaultConnect           = 2 * time.Second
	DefaultKeepAliveIdle     = 5 * time.Second
	DefaultKeepAliveInterval = 2 * time.Second
	DefaultKeepAliveCount    = 3
	DefaultUserTimeout       = 6 * time.Second
)

// withDefaults returns the limits with zero fields replaced by their defaults.
func (l Limits) withDefaults() Limits {
	if l.Connect == 0 {
		l.Connect = DefaultConnect
	}
	if l.KeepAliveIdle == 0 {
		l.KeepAliveIdle = DefaultKeepAliveIdle
	}
	if l.KeepAliveInterval == 0 {
		l.KeepAliveInterval = DefaultKeepAliveInterval
	}
	if l.KeepAliveCount == 0 {
		l.KeepAliveCount = DefaultKeepAliveCount
	}
	if l.UserTimeout == 0 {
		l.UserTimeout = DefaultUserTimeout
	}
	if l.ReceiveBuffer == 0 {
		l.ReceiveBuffer = l.SocketBuffer
	}
	return l
}

// keepAlive returns the keepalive configuration for the limits.
func (l Limits) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     l.KeepAliveIdle,
		Interval: l.KeepAliveInterval,
		Count:    l.KeepAliveCount,
	}
}

// NewDialer returns a dialer whose connections detect a peer that disappeared
// without a reset. With the kernel's defaults, writes to such a connection succeed
// until the kernel closes it after a quarter of an hour, and reads block for
// ever.
func NewDialer(l Limits) *net.Dialer {
	l = l.withDefaults()
	return &net.Dialer{
		Timeout:         l.Connect,
		KeepAliveConfig: l.keepAlive(),
		Control:         bufferControl(l.SocketBuffer, l.ReceiveBuffer, userTimeoutControl(l.UserTimeout)),
	}
}

// NewListenConfig returns a listen configuration whose accepted connections
// have the same limits.
func NewListenConfig(l Limits) *net.ListenConfig {
	l = l.withDefaults()
	return &net.ListenConfig{
		KeepAliveConfig: l.keepAlive(),
		Control:         bufferControl(l.SocketBuffer, l.ReceiveBuffer, userTimeoutControl(l.UserTimeout)),
	}
}
