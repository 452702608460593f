package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMeetsLatencyObjectives(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name  string
		first time.Duration
		gap   time.Duration
		count int
		want  bool
	}{
		{"at both objectives", firstTokenObjective, interTokenObjective, 10, true},
		{"first token late", firstTokenObjective + 1, interTokenObjective, 10, false},
		{"tokens slow", firstTokenObjective, interTokenObjective + 1, 10, false},
		{"one token", firstTokenObjective, 0, 1, true},
		{"no token", 0, 0, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			latency := &latencySink{start: start}
			for i := range c.count {
				latency.record(start.Add(c.first+time.Duration(i)*c.gap), false)
			}
			latency.record(start.Add(time.Hour), true)
			require.Equal(t, c.want, latency.meetsObjectives())
		})
	}
}
