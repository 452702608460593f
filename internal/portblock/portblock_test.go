package portblock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two test processes run beside each other. With ports from one range each took those that the
// other had chosen a moment before, and processes ended with "address already in use".
func TestTwoProcessesGiveOutDifferentPorts(t *testing.T) {
	var a, b Ports
	t.Cleanup(func() {
		for _, guard := range append(a.guards, b.guards...) {
			_ = guard.Close()
		}
	})
	given := make(map[int]bool)
	for range size + 10 {
		for _, p := range []*Ports{&a, &b} {
			port, err := p.Next()
			require.NoError(t, err)
			require.False(t, given[port], "port %d is given out twice", port)
			given[port] = true
		}
	}
	require.Len(t, a.guards, 2, "a block is claimed when the last one is used up")
}
