package inbound

import "encoding/binary"

const (
	// prefaceBytes is the size of a client's connection preface (RFC 9113, section 3.4), frameHeadBytes that of the head of a
	// frame (section 4.1), and messageHeadBytes that of the prefix of a gRPC message.
	prefaceBytes     = 24
	frameHeadBytes   = 9
	messageHeadBytes = 5
)

// The types and flags of frames that begin, continue and end calls (RFC 9113, section 6).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameResetStream  = 0x3
	frameContinuation = 0x9
	flagEndStream     = 0x1
	flagPadded        = 0x8
)

// The memory in bytes that a call takes until its message is complete.
const (
	callMemory = 8 << 10
	// fieldMemory is that of a byte of a header block, dataFrameMemory that of a frame of data beside its bytes.
	fieldMemory     = 16
	dataFrameMemory = 128
)

// frameScanner follows the calls of a gRPC connection in the bytes that its client sends. The zero value expects the preface. It
// reckons what the calls hold whose messages are incomplete.
type frameScanner struct {
	// skipped is how much of the preface has been read.
	skipped int
	// head holds what has been read of the head of a frame.
	head []byte
	// left is what is left of the present frame, of a kind, on a stream.
	left        int
	kind, flags byte
	stream      uint32
	// calls holds the calls whose messages are incomplete, by stream.
	calls map[uint32]*call
	// held is the memory that they hold, in bytes.
	held int64
}

// call is a call whose message is incomplete.
type call struct {
	// head holds what has been read of the prefix of its message, and left what is left of the message after that.
	head []byte
	left int
	held int64
	// padded is set once a frame of data is padded. VMs pad none, and messages are not told from padding: such a call holds what
	// it has until its client ends it.
	padded bool
}

// scan follows the bytes that have been read.
func (s *frameScanner) scan(p []byte) {
	skip := min(len(p), prefaceBytes-s.skipped)
	s.skipped += skip
	p = p[skip:]
	for len(p) > 0 {
		if s.left == 0 {
			p = s.scanHead(p)
			continue
		}
		n := min(len(p), s.left)
		s.scanPayload(p[:n])
		p = p[n:]
	}
}

// scanHead reads a part of the head of a frame, and returns the bytes after it.
func (s *frameScanner) scanHead(p []byte) []byte {
	n := min(len(p), frameHeadBytes-len(s.head))
	s.head = append(s.head, p[:n]...)
	if len(s.head) < frameHeadBytes {
		return nil
	}
	s.left = int(s.head[0])<<16 | int(s.head[1])<<8 | int(s.head[2])
	s.kind, s.flags, s.stream = s.head[3], s.head[4], binary.BigEndian.Uint32(s.head[5:])&^(1<<31)
	s.head = s.head[:0]
	s.beginFrame()
	if s.left == 0 {
		s.endFrame()
	}
	return p[n:]
}

func (s *frameScanner) beginFrame() {
	c := s.calls[s.stream]
	if c == nil && (s.kind == frameHeaders || s.kind == frameData && s.left > 0) {
		c = s.open(s.stream)
	}
	if c == nil {
		return
	}
	switch s.kind {
	case frameHeaders:
		s.hold(c, callMemory+fieldMemory*int64(s.left))
	case frameContinuation:
		s.hold(c, fieldMemory*int64(s.left))
	case frameData:
		s.hold(c, dataFrameMemory)
	}
}

// scanPayload reads a part of the payload of a frame.
func (s *frameScanner) scanPayload(p []byte) {
	s.left -= len(p)
	if c := s.calls[s.stream]; s.kind == frameData && c != nil {
		s.hold(c, int64(len(p)))
		if s.flags&flagPadded != 0 {
			c.padded = true
		}
		c.scan(p)
	}
	if s.left == 0 {
		s.endFrame()
	}
}

// endFrame forgets a call that has ended, or whose message is complete.
func (s *frameScanner) endFrame() {
	c, ok := s.calls[s.stream]
	if !ok {
		return
	}
	ended := s.kind == frameResetStream || (s.kind == frameData || s.kind == frameHeaders) && s.flags&flagEndStream != 0
	if ended || s.kind == frameData && c.complete() {
		s.held -= c.held
		delete(s.calls, s.stream)
	}
}

func (s *frameScanner) open(stream uint32) *call {
	if s.calls == nil {
		s.calls = make(map[uint32]*call)
	}
	c := &call{}
	s.calls[stream] = c
	return c
}

func (s *frameScanner) hold(c *call, n int64) {
	c.held += n
	s.held += n
}

// scan follows the bytes of messages.
func (c *call) scan(p []byte) {
	for len(p) > 0 {
		if c.left > 0 {
			n := min(len(p), c.left)
			c.left -= n
			p = p[n:]
			continue
		}
		n := min(len(p), messageHeadBytes-len(c.head))
		c.head = append(c.head, p[:n]...)
		p = p[n:]
		if len(c.head) == messageHeadBytes {
			c.left = int(binary.BigEndian.Uint32(c.head[1:]))
			c.head = c.head[:0]
		}
	}
}

// complete reports whether what has been read of messages ends with the end of one.
func (c *call) complete() bool { return !c.padded && len(c.head) == 0 && c.left == 0 }
