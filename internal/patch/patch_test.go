package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// configurationText returns a text that resembles a configuration with a number of routes.
func configurationText(routes int) []byte {
	var out bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&out, `{"name":"r-%x","host":"h.example","path":"/%x/"},`, i*2654435761%100000007, i*40503%1000003)
	}
	return out.Bytes()
}

// A configuration that changes by one route is sent to each VM 13,000 times a day. Sending
// it in full would use most of the bandwidth of a narrow link. Random text represents keys, which have no
// repeated parts.
func TestPatchSizeIsSmallForSmallChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	before := configurationText(2000)
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

func TestApplyingPatchGivesValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 0, 200)
		base, value := configurationText(rapid.IntRange(0, 300).Draw(t, "rows")), []byte{}
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
			t.Fatal("applying the patch to its base did not give the value that it was made from")
		}
	})
}

// A VM has another version than the base of a patch. It must not use the result as a
// configuration.
func TestPatchOnAnotherBaseFails(t *testing.T) {
	p, err := Make(configurationText(1000), append(configurationText(1000), "more"...))
	require.NoError(t, err)
	got, err := Apply(configurationText(400), p)
	require.ErrorIs(t, err, ErrPatch, "%d bytes", len(got))
	_, err = Apply(configurationText(1000), []byte("no patch"))
	require.ErrorIs(t, err, ErrPatch)
}

func TestHistoryMakesPatchesFromKeptVersions(t *testing.T) {
	h := NewHistory()
	h.Record("small", 1, []byte("x"))
	_, _, ok := h.Patch("small", 1, 0)
	require.False(t, ok)
	for revision := range int64(maxVersions + 2) {
		h.Record("k", revision+1, configurationText(800+int(revision)))
	}
	newest := int64(maxVersions + 2)
	_, _, ok = h.Patch("k", newest-1, 0)
	require.False(t, ok, "must not make a patch to an older version")
	for base := range newest + 1 {
		p, usedBase, ok := h.Patch("k", newest, base)
		require.True(t, ok)
		var baseValue []byte
		if usedBase != 0 {
			require.Equal(t, base, usedBase)
			baseValue = configurationText(800 + int(usedBase) - 1)
		}
		require.Equal(t, base > newest-maxVersions, usedBase != 0, "base %d", base)
		got, err := Apply(baseValue, p)
		require.NoError(t, err)
		require.Equal(t, configurationText(800+int(newest)-1), got)
	}
}
