package clients

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

// The types and flags of HTTP/2 frames that are used here (RFC 9113, section 6).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameSettings     = 0x4
	framePing         = 0x6
	frameContinuation = 0x9
	flagEndHeaders    = 0x4
)

// preface begins a connection: the client's magic and empty settings.
var preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(frameSettings, 0, 0, "")

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	out = append(out, flags)
	out = binary.BigEndian.AppendUint32(out, stream)
	return string(out) + payload
}

// field returns a header field that is not indexed (RFC 7541, section 6.2.2). Name and value have to be shorter than 127 bytes.
func field(name, value string) string {
	return "\x00" + string(byte(len(name))) + name + string(byte(len(value))) + value
}

// callFields returns the header fields of a call to a service.
func callFields() string {
	return field(":method", "POST") + field(":scheme", "http") + field(":path", "/chestnutarch.peer.v1.VMs/Exchange") + field(":authority", "vm") +
		field("content-type", "application/grpc") + field("te", "trailers")
}

// manyFields returns header fields of a size in bytes.
func manyFields(size int) string {
	var out strings.Builder
	for i := 0; out.Len() < size; i++ {
		out.WriteString(field(fmt.Sprintf("a%d", i), ""))
	}
	return out.String()
}

// headerBlocks sends a header block on a stream that has no end.
func headerBlocks(size int) sender {
	return repeated(func(int) string { return preface + frame(frameHeaders, 0, 1, callFields()+manyFields(size)) },
		func(int) string { return frame(frameContinuation, 0, 1, manyFields(8<<10)) })
}

// manyStreams opens streams, each with a header block of a size in bytes.
func manyStreams(size int) sender {
	return func(_ int, to io.Writer) error {
		_, err := io.WriteString(to, preface)
		block := callFields() + manyFields(size-1<<10)
		sent := 0
		for id := uint32(1); sent < endless && err == nil; id += 2 {
			var n int
			n, err = io.WriteString(to, frame(frameHeaders, flagEndHeaders, id, block))
			sent += n
		}
		return err
	}
}

// unfinishedMessages opens streams, on each of which a message begins that does not end. All messages of a connection together
// have 1 MB.
func unfinishedMessages(_ int, to io.Writer) error {
	_, err := io.WriteString(to, preface)
	message := "\x00" + "\x00\x1f\xff\xff" + strings.Repeat("a", 16<<10-5)
	for id := uint32(1); id < 2*60 && err == nil; id += 2 {
		_, err = io.WriteString(to, frame(frameHeaders, flagEndHeaders, id, callFields())+frame(frameData, 0, id, message))
	}
	return err
}
