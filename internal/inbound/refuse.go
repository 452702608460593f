package inbound

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// lingerTime is for how long the bytes of a refused client are read and discarded: closing a connection that has unread bytes
	// resets it, and its client may lose the answer.
	lingerTime = 200 * time.Millisecond
	// lingerBytes bounds these bytes.
	lingerBytes = 64 << 10
	// retryAfter is when a request that found no memory may be sent again, at the earliest. Clients are spread over as long.
	retryAfter = time.Second
)

// tooLarge is the answer to a head that is larger than is accepted.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: 26\r\n\r\n" +
	`{"error":"head_too_large"}`

// noMemory returns the answer to a head for which there is no memory.
func noMemory() string {
	const body = `{"error":"no_memory","detail":"no memory for the head; the request was not run"}`
	wait := retryAfter + time.Duration(rand.Int64N(int64(retryAfter)))
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %.3f\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		wait.Seconds(), len(body), body)
}

// refuse answers a head that has not been handed out, and returns an error for which the server closes the connection without an
// answer of its own.
func (c *Conn) refuse(answer string) error {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.WithStack(ErrRefused)}
}
