package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/stats"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// An operator looks for the spans of one request. Spans of reports, which each VM sends
// several times a second, would bury them.
func TestPeriodicCallsAreNotTraced(t *testing.T) {
	require.False(t, traced(&stats.RPCTagInfo{FullMethodName: peerpb.VMs_Exchange_FullMethodName}))
	require.True(t, traced(&stats.RPCTagInfo{FullMethodName: peerpb.VMs_EnsureAdapter_FullMethodName}))
}
