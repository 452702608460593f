// Package transport makes the connections that every hop uses: TCP dialers
// that notice a peer which has gone silent, and HTTP transports built on them.
package transport
