package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

const environment = "measure"

// document returns a document of a size given by its keys, whose rate is drawn
// from n so that each is another one.
func document(keys, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "environment: %s\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", environment, n)
	for i := range keys {
		fmt.Fprintf(&b, "  - id: key-%06d\n    sha256: %s\n", i, configstate.DigestKey(fmt.Sprint(i)))
	}
	return b.String()
}

// countingListener counts the bytes that the service's connections carry, both
// ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept wraps each connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what arrives.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what leaves.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
