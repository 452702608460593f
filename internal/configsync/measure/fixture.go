package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

const environment = "measure"

// document returns a document with the given number of keys and rate n, so that
// documents with different n differ.
func document(keys, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "environment: %s\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", environment, n)
	for i := range keys {
		fmt.Fprintf(&b, "  - id: key-%06d\n    sha256: %s\n", i, configstate.DigestKey(fmt.Sprint(i)))
	}
	return b.String()
}

// countingListener counts the bytes that the service's connections transfer in both
// directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept accepts a connection and wraps it in a countingConn.
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

// Read counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
