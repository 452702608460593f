package vm

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// The leader of a fleet with twelve thousand engines changes, and all that they hold is new to
// every VM. As one report it would not arrive in the time of an exchange over a narrow link,
// and a failed exchange tells everything again: VMs would never learn where models are.
func TestContentsOfManyEnginesAreToldInParts(t *testing.T) {
	const engines = 12_000
	leader, follower := newContentsTable(), newContentsTable()
	var all []*peerpb.EngineContents
	for i := range engines {
		all = append(all, &peerpb.EngineContents{Instance: fmt.Sprint("engine-", i), Models: []string{"m"}})
	}
	leader.set(7, all)
	tell := func() {
		out := &peerpb.VMReport{}
		leader.describe(out, "vm-2")
		require.LessOrEqual(t, len(out.Contents), maxContents)
		follower.hear(out.LeaderToken, out.Contents)
	}
	tell()
	leader.forget("vm-2")
	for range engines / maxContents {
		tell()
	}
	require.Len(t, follower.engines, engines)
	out := &peerpb.VMReport{}
	leader.describe(out, "vm-2")
	require.Empty(t, out.Contents, "nothing is new")
}
