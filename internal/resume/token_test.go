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

func newTestKeyring(t require.TestingT, secrets ...byte) *Keyring {
	var all [][]byte
	for _, b := range secrets {
		all = append(all, secret(b))
	}
	r, err := NewKeyring(all...)
	require.NoError(t, err)
	return r
}

func sign(t require.TestingT, r *Keyring, token Token) string {
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

// A caller resumes at any VM while the secret is being rotated. VMs that have the same
// two secrets in either order must accept each other's tokens; a VM with neither must
// reject them.
func TestTokensAreAcceptedDuringRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := tokens().Draw(t, "token")
		for _, id := range []string{sign(t, newTestKeyring(t, 'a', 'b'), token), sign(t, newTestKeyring(t, 'b', 'a'), token)} {
			got, err := newTestKeyring(t, 'a', 'b').Open(id, token.Team)
			require.NoError(t, err)
			require.Equal(t, token, got)
		}
		_, err := newTestKeyring(t, 'c').Open(sign(t, newTestKeyring(t, 'a'), token), token.Team)
		require.ErrorIs(t, err, ErrBadSignature)
	})
}

// Guards against reading another team's stream by sending that team's event ID, or by
// changing a character of one's own.
func TestChangedOrForeignTokensAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestKeyring(t, 'a')
		token := tokens().Draw(t, "token")
		id := sign(t, r, token)
		_, err := r.Open(id, token.Team+"x")
		require.ErrorIs(t, err, ErrWrongTeam)
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
	_, err := NewKeyring()
	require.ErrorIs(t, err, ErrNoSecret)
	_, err = NewKeyring(secret('a'), []byte("short"))
	require.ErrorIs(t, err, ErrWeakSecret)
}

// FuzzOpen opens arbitrary event IDs. An accepted event ID must be exactly the one that
// a signer creates for the same token.
func FuzzOpen(f *testing.F) {
	r := newTestKeyring(f, 'a')
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

// FuzzParse parses arbitrary bytes as the signed part of a token.
func FuzzParse(f *testing.F) {
	f.Add([]byte{tokenFormat, 1, 't', 1, 'v', 1, 'e', 1, 's', 3})
	f.Add([]byte{tokenFormat, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
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
	s, err := newTestKeyring(b, 'a').Signer(Token{Team: "team-one", VM: "vm-1", Engine: "engine-07", Stream: "0195f5a4-0000-7000-8000-000000000000"})
	require.NoError(b, err)
	var buffer []byte
	b.ReportAllocs()
	for i := range b.N {
		buffer = s.Append(buffer[:0], int64(i))
	}
}
