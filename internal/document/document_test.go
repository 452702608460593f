package document

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

const digestA = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

const smallDocument = `environment: test
failure_domains: [a, b]
teams:
- name: drafting
  rate: 1000
  burst: 4000
  keys:
  - id: first
    sha256: ` + digestA + `
models:
- name: m
  version: v1
  memory: 10GiB
  adapters:
  - {name: x, version: v1, memory: 1GiB, max_in_flight: 60}
engines:
- {name: e1, url: "http://127.0.0.1:9001", failure_domain: a, memory: 16GiB, kv_cache_reserve: 4GiB, fencing: enforced}
services:
- name: registry
  replicas:
  - {name: r1, url: "http://127.0.0.1:9101", failure_domain: b}
routes:
- {path: /registry/filings, service: registry}
weight_store: {loads_per_second: 2, concurrent_loads: 8}
`

func TestParseAppliesDefaults(t *testing.T) {
	doc, err := Parse([]byte(smallDocument), "env.yaml")
	require.NoError(t, err)
	require.EqualValues(t, DefaultWeight, doc.Teams[0].Weight)
	require.Equal(t, DefaultReplicas, doc.Models[0].Replicas)
	require.Equal(t, RepeatNever, doc.Routes[0].Repeat)
	require.Equal(t, DefaultTimeout, doc.Routes[0].Timeout)
	require.Equal(t, 10*GiB, doc.Models[0].Memory)
}

// Each kind of mistake in a document is refused with its error and its place, before
// anything is written, so that it does not reach any VM.
func TestParseRefusesMistakes(t *testing.T) {
	cases := []struct {
		name, from, to, place string
		is                    error
	}{
		{"unknown field", "rate: 1000", "rtae: 1000", "env.yaml:5: teams[0].rtae", strictyaml.ErrUnknownField},
		{"field twice", "burst: 4000", "rate: 4000", "teams[0].rate", strictyaml.ErrDuplicateField},
		{"memory without unit", "10GiB", "10", "env.yaml:13: models[0].memory", strictyaml.ErrBadValue},
		{"decimal unit", "10GiB", "10GB", "models[0].memory", strictyaml.ErrBadValue},
		{"no base model", "  memory: 10GiB\n", "", "models[0].memory", ErrNoBaseModel},
		{"adapter named like its model", "name: x", "name: m", "models[0].adapters[0].name", ErrDuplicateName},
		{"unknown failure domain", "failure_domain: b", "failure_domain: c", "env.yaml:21: services[0].replicas[0].failure_domain", ErrUnknownFailureDomain},
		{"host name", "127.0.0.1:9001", "engine:9001", "engines[0].url", ErrBadURL},
		{"path in a URL", "127.0.0.1:9001", "127.0.0.1:9001/v1", "engines[0].url", ErrBadURL},
		{"same address twice", "127.0.0.1:9101", "127.0.0.1:9001", "services[0].replicas[0].url", ErrDuplicateName},
		{"short digest", digestA, "2bb8", "teams[0].keys[0].sha256", ErrBadDigest},
		{"upper-case digest", digestA, strings.ToUpper(digestA), "teams[0].keys[0].sha256", ErrBadDigest},
		{"unstated fencing", ", fencing: enforced", "", "engines[0].fencing", ErrUnknownChoice},
		{"unknown service", "service: registry", "service: files", "routes[0].service", ErrUnknownService},
		{"unclean path", "/registry/filings", "/registry/../filings", "routes[0].path", ErrBadPath},
		{"no rate", "rate: 1000", "rate: 0", "teams[0].rate", ErrOutOfRange},
		{"no store rate", "loads_per_second: 2", "loads_per_second: .nan", "weight_store.loads_per_second", ErrOutOfRange},
		{"model too large", "10GiB", "12GiB", "models", ErrDoesNotFit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, smallDocument, c.from)
			_, err := Parse([]byte(strings.Replace(smallDocument, c.from, c.to, 1)), "env.yaml")
			require.ErrorIs(t, err, c.is)
			require.Contains(t, err.Error(), c.place)
		})
	}
}

// Two teams list the same key because a line was copied. Which team's rate applies
// would depend on the order of the document.
func TestParseRefusesKeyOfTwoTeams(t *testing.T) {
	text := strings.Replace(smallDocument, "models:", `- name: other
  rate: 1
  burst: 1
  keys: [{id: k, sha256: `+digestA+`}]
models:`, 1)
	_, err := Parse([]byte(text), "env.yaml")
	require.ErrorIs(t, err, ErrSharedKey)
	require.ErrorContains(t, err, "teams[0].keys[0]")
}

func TestParseReportsAllMistakes(t *testing.T) {
	text := strings.NewReplacer("rate: 1000", "rate: -1", "failure_domain: b", "failure_domain: c").Replace(smallDocument)
	_, err := Parse([]byte(text), "env.yaml")
	require.ErrorIs(t, err, ErrOutOfRange)
	require.ErrorIs(t, err, ErrUnknownFailureDomain)
}

// A model is added for which the engines have too little memory. The error must show
// the sums and the model that fits in no engine.
func TestParseReportsMemoryShortfall(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(smallDocument, "10GiB", "13GiB", 1)), "env.yaml")
	require.ErrorIs(t, err, ErrDoesNotFit)
	require.ErrorContains(t, err, "needed: models 13.00GiB + adapters 1.00GiB = 14.00GiB; there is: engines 16.00GiB - KV cache reserve 4.00GiB = 12.00GiB")
	require.ErrorContains(t, err, "models[0].memory: 13.00GiB in one engine: the largest holds 12.00GiB")
}

func TestDiffReportsChanges(t *testing.T) {
	a, err := Parse([]byte(smallDocument), "a")
	require.NoError(t, err)
	text := strings.NewReplacer("rate: 1000", "rate: 1500", "name: x, version: v1", "name: y, version: v1").Replace(smallDocument)
	b, err := Parse([]byte(text), "b")
	require.NoError(t, err)
	changes := Diff(a, b)
	require.Len(t, changes, 3)
	require.Equal(t, Change{Kind: Changed, Path: "teams[drafting].rate", Before: "1000", After: "1500"}, changes[0])
	require.Equal(t, Removed, changes[1].Kind)
	require.Equal(t, "models[m].adapters[x]", changes[1].Path)
	require.Equal(t, Added, changes[2].Kind)
	require.Empty(t, Diff(a, a))
}

func TestBytesRoundTrip(t *testing.T) {
	for _, text := range []string{"0", "1KiB", "200MiB", "14GiB", "1025KiB"} {
		b, err := ParseBytes(text)
		require.NoError(t, err)
		require.Equal(t, text, b.String())
	}
	for _, text := range []string{"", "5", "5GB", "-1GiB", "1.5GiB", "9999999999GiB"} {
		_, err := ParseBytes(text)
		require.ErrorIs(t, err, ErrBadUnit, text)
	}
}

// Adding a key by command to a document with comments must preserve the comments and
// all other content.
func TestWithKeyPreservesText(t *testing.T) {
	commented := strings.Replace(smallDocument, "teams:", "# Drafting pays for two accelerators.\nteams:", 1)
	key := Key{ID: "second", SHA256: Digest([]byte("second"))}
	text, err := WithKey([]byte(commented), "drafting", key)
	require.NoError(t, err)
	require.Contains(t, string(text), "# Drafting pays")
	doc, err := Parse(text, "env.yaml")
	require.NoError(t, err)
	require.Equal(t, key, doc.Teams[0].Keys[1])
	before, err := Parse([]byte(smallDocument), "env.yaml")
	require.NoError(t, err)
	require.Len(t, Diff(before, doc), 1)
	_, err = WithKey([]byte(smallDocument), "nobody", key)
	require.ErrorIs(t, err, ErrNoTeam)
}

func TestWithReleaseReplacesOnlyReleaseSections(t *testing.T) {
	trial := strings.NewReplacer("environment: test", "environment: trial", "version: v1", "version: v2", "rate: 1000", "rate: 1").Replace(smallDocument)
	text, err := WithRelease([]byte(smallDocument), []byte(trial))
	require.NoError(t, err)
	got, err := Parse(text, "env.yaml")
	require.NoError(t, err)
	source, err := Parse([]byte(trial), "trial.yaml")
	require.NoError(t, err)
	require.Equal(t, source.ReleaseDigest(), got.ReleaseDigest())
	require.Equal(t, "test", got.Environment)
	require.EqualValues(t, 1000, got.Teams[0].Rate)
	require.Equal(t, "v2", got.Models[0].Version)
}
