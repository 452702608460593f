// Package transport provides the connections of every hop: TCP dialers that
// detect an unresponsive peer, and HTTP transports built on them.
package transport
