package inbound

import "bytes"

// headScanner finds the end of a request's head in the bytes of a connection. The zero value expects a head.
type headScanner struct {
	// begun is set once a line that is not empty has begun. Empty lines before a request do not end its head.
	begun bool
	// text is set if the present line has more than a carriage return.
	text bool
}

// scan returns how many of the bytes belong to the head, and whether it ends with them.
func (s *headScanner) scan(p []byte) (n int, complete bool) {
	for n < len(p) {
		line, _, ended := bytes.Cut(p[n:], []byte{'\n'})
		n += len(line)
		if len(bytes.TrimRight(line, "\r")) > 0 {
			s.begun, s.text = true, true
		}
		if !ended {
			return n, false
		}
		n++
		if s.begun && !s.text {
			return n, true
		}
		s.text = false
	}
	return n, false
}

// The memory in bytes that a head takes, from when it is parsed until its request has been answered: its fields, and the copies
// of them that are forwarded.
const (
	lineMemory = 256
	// itemMemory is that of an item of a list, of which a field may have many.
	itemMemory = 64
	byteMemory = 4
)

// headMemory returns the memory that bytes of a head take.
func headMemory(p []byte) int64 {
	lines, items := bytes.Count(p, []byte{'\n'}), bytes.Count(p, []byte{','})
	return int64(lines*lineMemory + items*itemMemory + len(p)*byteMemory)
}
