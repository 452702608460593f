package inbound

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	out = binary.BigEndian.AppendUint32(append(out, flags), stream)
	return string(out) + payload
}

// message returns a gRPC message of a size in bytes.
func message(size int) string {
	return string(binary.BigEndian.AppendUint32([]byte{0}, uint32(size))) + strings.Repeat("a", size)
}

var (
	preface = strings.Repeat("p", prefaceBytes)
	start   = time.Unix(0, 0)
)

// Guards against calls that are counted after their messages are complete, wherever reads and frames end.
func TestCallsHoldMemoryUntilTheirMessageIsComplete(t *testing.T) {
	const settings, ping = 0x4, 0x6
	rapid.Check(t, func(t *rapid.T) {
		var sent strings.Builder
		sent.WriteString(preface + frame(settings, 0, 0, ""))
		incomplete := int64(0)
		for i := range uint32(rapid.IntRange(1, 6).Draw(t, "calls")) {
			id := 2*i + 1
			sent.WriteString(frame(frameHeaders, 0x4, id, "fields"))
			body := message(rapid.IntRange(0, 40_000).Draw(t, "size"))
			end := rapid.SampledFrom([]string{"message", "stream", "reset", "never"}).Draw(t, "end")
			if end != "message" && end != "stream" {
				body = body[:rapid.IntRange(0, len(body)-1).Draw(t, "cut")]
			}
			for len(body) > 0 {
				n := min(len(body), rapid.IntRange(1, 16_384).Draw(t, "frame"))
				sent.WriteString(frame(frameData, 0, id, body[:n]) + frame(ping, 0, 0, "12345678"))
				body = body[n:]
			}
			switch end {
			case "stream":
				sent.WriteString(frame(frameData, flagEndStream, id, ""))
			case "reset":
				sent.WriteString(frame(frameResetStream, 0, id, "1234"))
			case "never":
				incomplete++
			}
		}
		var s frameScanner
		for p := []byte(sent.String()); len(p) > 0; {
			n := min(len(p), rapid.SampledFrom([]int{1, 9, 500, 32_768}).Draw(t, "read"))
			s.scan(p[:n])
			p = p[n:]
		}
		require.Len(t, s.calls, int(incomplete))
		require.GreaterOrEqual(t, s.held, incomplete*callMemory)
		require.Equal(t, incomplete == 0, s.held == 0)
	})
}

// Guards against bytes that are no HTTP/2 and break the reckoning.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(preface + frame(frameHeaders, 0, 1, "fields") + frame(frameData, flagPadded, 1, "\x01a0") + frame(frameContinuation, 0, 3, "")))
	f.Fuzz(func(t *testing.T, p []byte) {
		var s frameScanner
		for len(p) > 0 {
			n := min(len(p), 7)
			s.scan(p[:n])
			p = p[n:]
			sum := int64(0)
			for _, c := range s.calls {
				sum += c.held
			}
			if sum != s.held || s.held < 0 {
				t.Fatalf("%d bytes are held, calls hold %d", s.held, sum)
			}
		}
	})
}

// Guards against memory that a connection keeps beyond its calls.
func TestGRPCConnectionReturnsWhatItsCallsHeld(t *testing.T) {
	table := connlimit.NewTable(1 << 20)
	entry := table.Group(1).Open(func() {}, start)
	c := &grpcConn{Conn: &Conn{entry: entry}}
	for _, step := range []struct {
		bytes string
		holds bool
	}{
		{preface, false}, {frame(frameHeaders, 0, 1, "fields"), true}, {frame(frameData, 0, 1, message(100)[:50]), true},
		{frame(frameData, 0, 1, message(100)[50:]), false},
	} {
		c.frames.scan([]byte(step.bytes))
		require.NoError(t, c.hold(start))
		require.Equal(t, step.holds, table.HeadCounts().Held > 0)
	}
	c.frames.scan([]byte(frame(frameHeaders, 0, 3, strings.Repeat("f", 1<<20))))
	require.ErrorIs(t, c.hold(start), connlimit.ErrNoMemory)
}

// Guards against padded frames whose messages are taken for complete although they are not followed.
func TestPaddedCallsHoldMemoryUntilTheyEnd(t *testing.T) {
	var s frameScanner
	s.scan([]byte(preface + frame(frameHeaders, 0, 1, "fields") + frame(frameData, flagPadded, 1, "\x00"+message(100)[:50])))
	require.Positive(t, s.held)
	s.scan([]byte(frame(frameData, 0, 1, "")))
	require.Positive(t, s.held)
	s.scan([]byte(frame(frameData, flagEndStream, 1, "")))
	require.Zero(t, s.held)
}
