package engine

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzEventReader reads arbitrary bytes as an event stream. The reader must neither
// panic nor grow without bound, and must never return an event without its terminating
// blank line.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"id\":\"r\"}\n\n"))
	f.Add([]byte("event: error\r\ndata: a\r\ndata: b\r\n\r\n"))
	f.Add([]byte(": comment\n\ndata\n\n"))
	f.Add([]byte("id: -1\ndata: x\n\n"))
	f.Add([]byte("data: cut"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := newEventReader(bytes.NewReader(input))
		events := 0
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			events++
			require.NotNil(t, e.data)
			require.LessOrEqual(t, len(e.data), maxEventBytes)
		}
		ends := bytes.Count(input, []byte("\n\n")) + bytes.Count(input, []byte("\n\r\n"))
		require.LessOrEqual(t, events, ends)
	})
}

func TestEventTooLarge(t *testing.T) {
	line := append([]byte("data: "), bytes.Repeat([]byte("x"), maxLineBytes)...)
	_, err := newEventReader(bytes.NewReader(line)).next()
	require.ErrorIs(t, err, ErrEventTooLarge)
	_, err = newEventReader(bytes.NewReader([]byte("id: 1\n"))).next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
