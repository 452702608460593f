package portblock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two test processes run concurrently. If both chose from one range, each could take ports that
// the other had just chosen, and processes would end with "address already in use".
func TestTwoProcessesAllocateDifferentPorts(t *testing.T) {
	var a, b Ports
	t.Cleanup(func() {
		for _, guard := range append(a.guards, b.guards...) {
			_ = guard.Close()
		}
	})
	issued := make(map[int]bool)
	for range portsPerBlock + 10 {
		for _, p := range []*Ports{&a, &b} {
			port, err := p.Next()
			require.NoError(t, err)
			require.False(t, issued[port], "port %d was allocated twice", port)
			issued[port] = true
		}
	}
	require.Len(t, a.guards, 2, "a second block must be claimed once the first is used up")
}
