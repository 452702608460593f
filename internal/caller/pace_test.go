package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPaceAttains(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name  string
		first time.Duration
		gap   time.Duration
		count int
		want  bool
	}{
		{"at both objectives", firstTokenObjective, betweenTokensObjective, 10, true},
		{"first token late", firstTokenObjective + 1, betweenTokensObjective, 10, false},
		{"tokens slow", firstTokenObjective, betweenTokensObjective + 1, 10, false},
		{"one token", firstTokenObjective, 0, 1, true},
		{"no token", 0, 0, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &pace{start: start}
			for i := range c.count {
				p.note(start.Add(c.first+time.Duration(i)*c.gap), false)
			}
			p.note(start.Add(time.Hour), true)
			require.Equal(t, c.want, p.attained())
		})
	}
}
