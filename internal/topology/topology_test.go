package topology

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func vms(n, domains int) []VM {
	var out []VM
	for i := range n {
		out = append(out, VM{Name: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprint(i % domains)})
	}
	return out
}

func planOf(all []VM, i int) *Plan {
	others := append(append([]VM{}, all[:i]...), all[i+1:]...)
	return New(all[i], others)
}

func TestFewVMsFormAMesh(t *testing.T) {
	all := vms(7, 4)
	calls := 0
	for i := range all {
		p := planOf(all, i)
		require.Len(t, p.Partners, 6)
		require.False(t, p.IsHub())
		for _, partner := range p.Partners {
			if partner.Call {
				calls++
			}
		}
	}
	require.Equal(t, 21, calls, "each pair has one side that calls")
}

// Eighty VMs that all exchanged with all would spend a tenth of what they earn on bytes
// between failure domains. Each has to stand in exactly one place, so that what one VM
// admits counts once at every other one.
func TestManyVMsReportThroughHubs(t *testing.T) {
	all := vms(82, 4)
	pairs, hubs := 0, 0
	for i := range all {
		p := planOf(all, i)
		weight := 0
		for _, partner := range p.Partners {
			weight += partner.Weight
			if partner.Call && partner.Weight > 0 {
				pairs++
			}
		}
		require.Equal(t, 81, weight, "everybody is heard of once")
		if p.IsHub() {
			hubs++
		} else {
			require.Len(t, p.Partners, 1+standbys)
		}
	}
	require.Equal(t, 4, hubs)
	require.Equal(t, 78+6, pairs, "3,321 in a mesh")
}

// A hub dies. Its VMs and the other hubs have to agree on the next one without asking.
func TestSilentHubIsReplaced(t *testing.T) {
	all := vms(40, 4)
	all[0].Silent = true
	require.True(t, planOf(all, 4).IsHub())
	require.Equal(t, "vm-04", planOf(all, 8).Partners[0].Name)
	for _, partner := range planOf(all, 1).Partners {
		require.NotEqual(t, "vm-00", partner.Name)
	}
}

// The VMs of a domain have links of different width. The hub passes on everything that the
// others learn, and a narrow link would be full with that alone.
func TestWidestVMIsTheHub(t *testing.T) {
	all := vms(40, 4)
	all[8].Capacity = 200
	require.True(t, planOf(all, 8).IsHub())
	require.Equal(t, "vm-08", planOf(all, 0).Hub())
	require.Empty(t, planOf(all, 8).Hub())
	require.Empty(t, planOf(vms(7, 4), 0).Hub())
}

// A hub dies and its VMs turn to the hubs of other domains. If all took the same one, that one
// would have to serve a second domain at once.
func TestVMsTurnToDifferentHubs(t *testing.T) {
	all := vms(60, 6)
	turned := make(map[string]int)
	for i := 6; i < 60; i += 6 {
		others := planOf(all, i).OtherHubs()
		require.Len(t, others, 5)
		require.NotContains(t, others, planOf(all, i).Hub())
		require.Equal(t, others, planOf(all, i).OtherHubs())
		turned[others[0]]++
	}
	require.Greater(t, len(turned), 2)
}

func TestScopes(t *testing.T) {
	all := vms(40, 4)
	hub := planOf(all, 0)
	require.Equal(t, ScopeAll, hub.ScopeFor(all[4]))
	require.Equal(t, ScopeDomain, hub.ScopeFor(all[1]))
	require.Equal(t, ScopeOwn, planOf(all, 4).ScopeFor(all[0]))
	require.Equal(t, ScopePresence, planOf(all, 4).ScopeFor(all[8]))
	leader := all[4]
	leader.Leads = true
	require.Equal(t, ScopeAllForLeader, hub.ScopeFor(leader))
	require.True(t, planOf(all, 4).Accepts(all[0], ScopeAllForLeader))
	require.False(t, hub.Accepts(all[4], ScopePresence))
	require.Equal(t, ScopeOwn, planOf(vms(7, 4), 0).ScopeFor(all[1]))
}
