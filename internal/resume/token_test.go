package resume

import (
	"bytes"
	"flag"
	"math"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func secret(b byte) []byte { return bytes.Repeat([]byte{b}, MinSecretBytes) }

func ring(t require.TestingT, secrets ...byte) *Ring {
	var all [][]byte
	for _, b := range secrets {
		all = append(all, secret(b))
	}
	r, err := NewRing(all...)
	require.NoError(t, err)
	return r
}

func sign(t require.TestingT, r *Ring, token Token) string {
	s, err := r.Signer(token)
	require.NoError(t, err)
	_ = s.Append(nil, 1)
	return string(s.Append(nil, token.Offset))
}

func tokens() *rapid.Generator[Token] {
	name := rapid.StringN(0, 20, maxFieldBytes)
	return rapid.Custom(func(t *rapid.T) Token {
		return Token{
			Team:   name.Draw(t, "team"),
			VM:     name.Draw(t, "VM"),
			Engine: name.Draw(t, "engine"),
			Stream: name.Draw(t, "stream"),
			Offset: rapid.Int64Range(0, math.MaxInt64).Draw(t, "offset"),
		}
	})
}

// A caller comes back to any VM, also while the secret is being changed.
func TestTokensComeBackDuringRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := tokens().Draw(t, "token")
		for _, id := range []string{sign(t, ring(t, 'a', 'b'), token), sign(t, ring(t, 'b', 'a'), token)} {
			got, err := ring(t, 'a', 'b').Open(id, token.Team)
			require.NoError(t, err)
			require.Equal(t, token, got)
		}
		_, err := ring(t, 'c').Open(sign(t, ring(t, 'a'), token), token.Team)
		require.ErrorIs(t, err, ErrForged)
	})
}

// Somebody who has seen another team's event ID, or changes a character of his
// own, must not read a stream that is not his.
func TestChangedOrForeignTokensAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ring(t, 'a')
		token := tokens().Draw(t, "token")
		id := sign(t, r, token)
		_, err := r.Open(id, token.Team+"x")
		require.ErrorIs(t, err, ErrForeign)
		changed := []byte(id)
		at := rapid.IntRange(0, len(id)-1).Draw(t, "at")
		changed[at] = rapid.SampledFrom([]byte("ABCabc019_-")).Draw(t, "character")
		if string(changed) == id {
			return
		}
		_, err = r.Open(string(changed), token.Team)
		require.Error(t, err)
	})
}

func TestSecretsAreChecked(t *testing.T) {
	_, err := NewRing()
	require.ErrorIs(t, err, ErrNoSecret)
	_, err = NewRing(secret('a'), []byte("short"))
	require.ErrorIs(t, err, ErrWeakSecret)
}

// FuzzOpen feeds event IDs from outside. What is accepted must be exactly what a
// signer would have made.
func FuzzOpen(f *testing.F) {
	r := ring(f, 'a')
	f.Add(sign(f, r, Token{Team: "t", VM: "v", Engine: "e", Stream: "s", Offset: 3}))
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, id string) {
		token, err := r.Open(id, "t")
		if err != nil {
			return
		}
		require.Equal(t, id, sign(t, r, token))
	})
}

// FuzzParse feeds what stands under a valid signature.
func FuzzParse(f *testing.F) {
	f.Add([]byte{format, 1, 't', 1, 'v', 1, 'e', 1, 's', 3})
	f.Add([]byte{format, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		token, err := parse(b)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, token.Offset, int64(0))
	})
}

func BenchmarkAppend(b *testing.B) {
	s, err := ring(b, 'a').Signer(Token{Team: "team-one", VM: "vm-1", Engine: "engine-07", Stream: "0195f5a4-0000-7000-8000-000000000000"})
	require.NoError(b, err)
	var buffer []byte
	b.ReportAllocs()
	for i := range b.N {
		buffer = s.Append(buffer[:0], int64(i))
	}
}
