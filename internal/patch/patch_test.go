package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rows returns a text like that of a configuration with so many routes.
func rows(n int) []byte {
	var out bytes.Buffer
	for i := range n {
		fmt.Fprintf(&out, `{"name":"r-%x","host":"h.example","path":"/%x/"},`, i*2654435761%100000007, i*40503%1000003)
	}
	return out.Bytes()
}

// A configuration that changes by one route is passed on to each VM thirteen thousand times
// a day. Its whole would take most of a narrow link. Random text stands for keys, of which no
// part comes twice.
func TestPatchHoldsOnlyWhatChanged(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	before := rows(2000)
	for len(before) < 1<<20 {
		before = fmt.Appendf(before, `"%016x%016x",`, r.Uint64(), r.Uint64())
	}
	after := bytes.Replace(before, []byte(`"/9e37/"`), []byte(`"/moved/"`), 1)
	require.NotEqual(t, before, after)
	p, err := Make(before, after)
	require.NoError(t, err)
	require.Less(t, len(p), 1<<10)
	got, err := Apply(before, p)
	require.NoError(t, err)
	require.Equal(t, after, got)
}

func TestEveryPatchMakesItsValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 0, 200)
		base, value := rows(rapid.IntRange(0, 300).Draw(t, "rows")), []byte{}
		for range rapid.IntRange(0, 4).Draw(t, "pieces") {
			from := rapid.IntRange(0, len(base)).Draw(t, "from")
			value = append(value, base[from:]...)
			value = append(value, piece.Draw(t, "new")...)
		}
		p, err := Make(base, value)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(base, p)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(value, got) {
			t.Fatal("another value")
		}
	})
}

// A VM has another version than the one that a patch rests on. It must not take what comes
// of it for a configuration.
func TestPatchOnAnotherBaseFails(t *testing.T) {
	p, err := Make(rows(1000), append(rows(1000), "more"...))
	require.NoError(t, err)
	got, err := Apply(rows(400), p)
	require.ErrorIs(t, err, ErrPatch, "%d bytes", len(got))
	_, err = Apply(rows(1000), []byte("no patch"))
	require.ErrorIs(t, err, ErrPatch)
}

func TestHistoryPatchesWhatItKeeps(t *testing.T) {
	h := NewHistory()
	h.Note("small", 1, []byte("x"))
	_, _, ok := h.Patch("small", 1, 0)
	require.False(t, ok)
	for revision := range int64(versions + 2) {
		h.Note("k", revision+1, rows(800+int(revision)))
	}
	newest := int64(versions + 2)
	_, _, ok = h.Patch("k", newest-1, 0)
	require.False(t, ok, "an older version is not passed on")
	for base := range newest + 1 {
		p, on, ok := h.Patch("k", newest, base)
		require.True(t, ok)
		var from []byte
		if on != 0 {
			require.Equal(t, base, on)
			from = rows(800 + int(on) - 1)
		}
		require.Equal(t, base > newest-versions, on != 0, "base %d", base)
		got, err := Apply(from, p)
		require.NoError(t, err)
		require.Equal(t, rows(800+int(newest)-1), got)
	}
}
