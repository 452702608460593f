package vm

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// The leader of a fleet with twelve thousand engines changes, and the contents of all engines are
// new to every VM. A single report of them would not arrive within the time of an exchange over a
// narrow link, and after a failed exchange all contents are sent again: VMs would never learn which
// engines hold which models.
func TestContentsOfManyEnginesAreSentInParts(t *testing.T) {
	const engines = 12_000
	leader, follower := newContentsTable(), newContentsTable()
	var all []*peerpb.EngineContents
	for i := range engines {
		all = append(all, &peerpb.EngineContents{Instance: fmt.Sprint("engine-", i), Models: []string{"m"}})
	}
	leader.set(7, all)
	sendReport := func() {
		out := &peerpb.VMReport{}
		leader.addUnsent(out, "vm-2")
		require.LessOrEqual(t, len(out.Contents), maxReportedEngines)
		follower.merge(out.LeaderToken, out.Contents)
	}
	sendReport()
	leader.forgetSent("vm-2")
	for range engines / maxReportedEngines {
		sendReport()
	}
	require.Len(t, follower.engines, engines)
	out := &peerpb.VMReport{}
	leader.addUnsent(out, "vm-2")
	require.Empty(t, out.Contents, "everything was sent already")
}
