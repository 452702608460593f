package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/stats"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// An operator looks for the spans of one request. They would be hard to find among spans of
// reports, which each VM sends several times a second.
func TestPeriodicCallsAreNotTraced(t *testing.T) {
	require.False(t, traced(&stats.RPCTagInfo{FullMethodName: peerpb.VMs_Exchange_FullMethodName}))
	require.True(t, traced(&stats.RPCTagInfo{FullMethodName: peerpb.VMs_EnsureAdapter_FullMethodName}))
}
