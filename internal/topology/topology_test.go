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
	initiated := 0
	for i := range all {
		p := planOf(all, i)
		require.Len(t, p.Partners, 6)
		require.False(t, p.IsHub())
		for _, partner := range p.Partners {
			if partner.Initiate {
				initiated++
			}
		}
	}
	require.Equal(t, 21, initiated, "exactly one VM of each pair must start the exchanges")
}

// A mesh of 80 VMs would spend a tenth of its revenue on traffic between failure domains.
// With hubs, every VM must be covered by exactly one partner's reports, so that what it
// admits counts once at every other VM.
func TestManyVMsReportThroughHubs(t *testing.T) {
	all := vms(82, 4)
	pairs, hubs := 0, 0
	for i := range all {
		p := planOf(all, i)
		weight := 0
		for _, partner := range p.Partners {
			weight += partner.Weight
			if partner.Initiate && partner.Weight > 0 {
				pairs++
			}
		}
		require.Equal(t, 81, weight, "the partners of a VM must report for each other VM exactly once")
		if p.IsHub() {
			hubs++
		} else {
			require.Len(t, p.Partners, 1+maxStandbys)
		}
	}
	require.Equal(t, 4, hubs)
	require.Equal(t, 78+6, pairs, "78 VMs exchange with their hub and 4 hubs with each other; a mesh would have 3,321 pairs")
}

// A hub fails. Its VMs and the other hubs must agree on its replacement without coordination.
func TestSilentHubIsReplaced(t *testing.T) {
	all := vms(40, 4)
	all[0].Silent = true
	require.True(t, planOf(all, 4).IsHub())
	require.Equal(t, "vm-04", planOf(all, 8).Partners[0].Name)
	for _, partner := range planOf(all, 1).Partners {
		require.NotEqual(t, "vm-00", partner.Name)
	}
}

// The VMs of a domain have links of different bandwidth. The hub forwards all reports that
// the others get, which alone would fill a narrow link.
func TestVMWithWidestLinkIsHub(t *testing.T) {
	all := vms(40, 4)
	all[8].Capacity = 200
	require.True(t, planOf(all, 8).IsHub())
	require.Equal(t, "vm-08", planOf(all, 0).Hub())
	require.Empty(t, planOf(all, 8).Hub())
	require.Empty(t, planOf(vms(7, 4), 0).Hub())
}

// A hub fails and its VMs fall back to the hubs of other domains. If all chose the same one,
// it would have to serve a whole second domain at once.
func TestVMsFallBackToDifferentHubs(t *testing.T) {
	all := vms(60, 6)
	firstChoices := make(map[string]int)
	for i := 6; i < 60; i += 6 {
		others := planOf(all, i).FallbackSources()
		require.Len(t, others, 5)
		require.NotContains(t, others, planOf(all, i).Hub())
		require.Equal(t, others, planOf(all, i).FallbackSources())
		firstChoices[others[0]]++
	}
	require.Greater(t, len(firstChoices), 2)
}

func TestScopes(t *testing.T) {
	all := vms(40, 4)
	hub := planOf(all, 0)
	require.Equal(t, ScopeAll, hub.ScopeFor(all[4]))
	require.Equal(t, ScopeFollowers, hub.ScopeFor(all[1]))
	require.Equal(t, ScopeOwn, planOf(all, 4).ScopeFor(all[0]))
	require.Equal(t, ScopePresence, planOf(all, 4).ScopeFor(all[8]))
	leader := all[4]
	leader.Leader = true
	require.Equal(t, ScopeAllForLeader, hub.ScopeFor(leader))
	require.True(t, planOf(all, 4).Accepts(all[0], ScopeAllForLeader))
	require.False(t, hub.Accepts(all[4], ScopePresence))
	require.Equal(t, ScopeOwn, planOf(vms(7, 4), 0).ScopeFor(all[1]))
}

// Guards against a hub whose messages and memory grow with its failure domain.
func TestPartnersOfAHubDoNotGrowWithItsDomain(t *testing.T) {
	for _, fleet := range []int{300, 900, 1800} {
		all := vms(fleet, 6)
		sources := 0
		for _, i := range []int{0, 1, 7, 60, fleet / 2, fleet - 1} {
			p := planOf(all, i)
			weight, followers := 0, 0
			for _, partner := range p.Partners {
				weight += partner.Weight
				if p.Follows(partner.Name) {
					followers++
				}
			}
			require.Equal(t, fleet-1, weight, "the partners of a VM must report for each other VM exactly once")
			require.Less(t, followers, 2*MaxFollowers)
			if p.Source() == "" {
				sources++
			}
		}
		require.LessOrEqual(t, sources, 2, "only the primary hub of a domain watches the store")
	}
}

// One of several hubs fails. If all VMs of the domain were divided anew, each would get a whole view.
func TestOnlyFollowersOfAFailedHubMove(t *testing.T) {
	all := vms(300, 1)
	before := planOf(all, 299)
	all[3].Silent = true
	after := planOf(all, 299)
	moved := 0
	for _, vm := range all[10:] {
		if before.hubOf[vm.Name] != after.hubOf[vm.Name] && before.hubOf[vm.Name] != all[3].Name && !after.isHub(after.hubOf[vm.Name]) {
			t.Fatal(vm.Name, "has no hub")
		}
		if before.hubOf[vm.Name] != after.hubOf[vm.Name] {
			moved++
		}
	}
	require.Less(t, moved, 3*MaxFollowers)
}

// Guards against hubs that follow each other, and VMs that leave their domain without need.
func TestFallbackSources(t *testing.T) {
	all := vms(400, 2)
	hub := planOf(all, 2)
	require.True(t, hub.IsHub())
	require.Equal(t, "vm-00", hub.Source())
	require.Equal(t, []string{"vm-01"}, hub.FallbackSources())
	require.Empty(t, planOf(all, 0).Source())
	vm := planOf(all, 398)
	require.Len(t, vm.FallbackSources(), len(vm.Hubs())-1)
	require.Contains(t, vm.hubs["0"], vm.FallbackSources()[0])
}
