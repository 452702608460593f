package configstate

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDeltaReproducesTargetEnvelope(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// A small alphabet produces long common prefixes and suffixes that overlap.
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab\n")), 0, 30, -1)
		from, to := envelope(3, text.Draw(rt, "from")), envelope(5, text.Draw(rt, "to"))
		from.Withdrawn, to.Withdrawn = []string{DigestKey("x")}, Union([]string{DigestKey("x"), DigestKey("y")})
		encoded, err := EncodeDeltas("", []Delta{NewDelta(from, to)}, 7)
		require.NoError(rt, err)
		update, err := DecodeUpdate(encoded)
		require.NoError(rt, err)
		require.EqualValues(rt, 7, update.WithdrawnSum)
		got, err := update.Deltas[0].Apply(from)
		require.NoError(rt, err)
		require.Equal(rt, to, got)
	})
}

// A delta that arrives at a VM with another version, or that was corrupted in
// transit, must not put a document in force that nobody accepted.
func TestMismatchedDeltaIsRefused(t *testing.T) {
	from, to := envelope(1, textWithKeys(1, DigestKey("a"))), envelope(2, textWithKeys(2, DigestKey("a")))
	d := NewDelta(from, to)
	require.Less(t, len(d.Middle), 3)
	_, err := d.Apply(to)
	require.ErrorIs(t, err, ErrGap)
	_, err = d.Apply(nil)
	require.ErrorIs(t, err, ErrGap)
	for _, corrupt := range []func(*Delta){
		func(d *Delta) { d.Prefix = -1 },
		func(d *Delta) { d.Suffix = 1 << 40 },
		func(d *Delta) { d.Middle += "x" },
		func(d *Delta) { d.Version = 0 },
	} {
		corrupted := d
		corrupt(&corrupted)
		_, err := corrupted.Apply(from)
		require.ErrorIs(t, err, ErrEnvelope)
	}
}

func TestLongDocumentIsStoredCompressed(t *testing.T) {
	e := envelope(1, strings.Repeat("# a comment of an operator\n", 10_000))
	data, err := e.Encode()
	require.NoError(t, err)
	require.Less(t, len(data), len(e.Document)/10)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, e, got)
	bomb, err := compress(strings.Repeat("x", maxDocumentBytes+1))
	require.NoError(t, err)
	_, err = decompress(bomb)
	require.ErrorIs(t, err, ErrEnvelope)
}
