package strictyaml

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
}

type outer struct {
	Count  int            `yaml:"count"`
	Items  []inner        `yaml:"items"`
	Limits map[string]int `yaml:"limits"`
	Share  *float64       `yaml:"share"`
}

func TestDecodeReadsEveryKindOfField(t *testing.T) {
	var out outer
	_, err := Decode([]byte("count: 3\nitems:\n- name: a\n  wait: 250ms\nlimits: {x: 1}\nshare: 0.5\n"), "a.yaml", &out)
	require.NoError(t, err)
	require.Equal(t, 3, out.Count)
	require.Equal(t, []inner{{Name: "a", Wait: 250 * time.Millisecond}}, out.Items)
	require.Equal(t, map[string]int{"x": 1}, out.Limits)
	require.InDelta(t, 0.5, *out.Share, 0)
}

// An operator misspells a field. If the error did not give the location, a document
// of a thousand lines would have to be searched.
func TestDecodeReportsTheLocationOfEveryError(t *testing.T) {
	cases := []struct {
		name, text, want string
		is               error
	}{
		{"unknown field", "count: 1\ncuont: 2\n", "a.yaml:2: cuont: unknown field", ErrUnknownField},
		{"nested", "items:\n- name: a\n- nmae: b\n", "a.yaml:3: items[1].nmae: unknown field", ErrUnknownField},
		{"given twice", "count: 1\ncount: 2\n", "a.yaml:2: count: field given twice", ErrDuplicateField},
		{"bad number", "count: many\n", `a.yaml:1: count: "many" is not a valid whole number`, ErrBadValue},
		{"bad duration", "items:\n- wait: soon\n", `a.yaml:2: items[0].wait: "soon" is not a valid duration`, ErrBadValue},
		{"not a list", "items: 3\n", "a.yaml:1: items: expected a list", ErrBadValue},
		{"not YAML", "count: [1\n", "a.yaml:", ErrSyntax},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out outer
			_, err := Decode([]byte(c.text), "a.yaml", &out)
			require.ErrorIs(t, err, c.is)
			require.Contains(t, err.Error(), c.want)
		})
	}
}

func TestSourceReportsMissingFieldAtItsParent(t *testing.T) {
	var out outer
	source, err := Decode([]byte("count: 1\nitems:\n- name: a\n"), "a.yaml", &out)
	require.NoError(t, err)
	require.Equal(t, 3, source.At("items[0].wait", ErrBadValue).Line)
	require.Equal(t, 1, source.At("limits", ErrBadValue).Line)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("count: 3\nitems: [{name: a}]\n"))
	f.Add([]byte("a: &x [*x]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var out outer
		source, _ := Decode(data, "f", &out)
		require.NotNil(t, source)
	})
}
