package vm

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// watchLeaders samples until ctx ends which VMs may give orders, and returns the largest number at one moment.
func (c *cluster) watchLeaders(ctx context.Context) (most func() int) {
	var wait sync.WaitGroup
	largest := 0
	wait.Go(func() {
		for ctx.Err() == nil {
			leading := 0
			for _, v := range c.vms {
				if _, ok := v.candidate.Authority(); ok {
					leading++
				}
			}
			largest = max(largest, leading)
			sleep(ctx, time.Millisecond)
		}
	})
	return func() int {
		wait.Wait()
		return largest
	}
}

// registered reports whether the store has the registrations of all VMs.
func (c *cluster) registered() bool {
	for _, v := range c.vms {
		if _, ok := c.store.Get(v.fleet.registrationKey()); !ok {
			return false
		}
	}
	return true
}

// requireRisingTokens fails the test if an engine has accepted an order with a lower token than one before.
func requireRisingTokens(t *testing.T, r *standin.Replica) {
	t.Helper()
	last := int64(0)
	for _, order := range r.Log() {
		require.GreaterOrEqual(t, order.Token, last, order)
		last = order.Token
	}
}

// Guards against two leaders, falling fencing tokens and VMs that lose each other where a copy is of before they started.
func TestLeadAndRegistrationsAfterTheStoreCameBackFromACopy(t *testing.T) {
	for _, vms := range []int{3, meshMaxVMs + 4} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			engines := []*standin.Replica{standin.NewReplica("engine-1", 4, "m0"), standin.NewReplica("engine-2", 4, "m1")}
			c := newCluster(t, append(engines, standin.NewReplica("clerk-1", 0))...)
			from := c.store.Copy()
			for n := range vms {
				c.startIn(fmt.Sprintf("vm-%02d", n), fmt.Sprint(n%2))
			}
			c.waitLeader()
			c.advanceStore(40)
			ctx, cancel := context.WithCancel(t.Context())
			most := c.watchLeaders(ctx)
			for drill := range 2 {
				adapter := fmt.Sprint("m0/a", drill+1)
				c.sendUntilAccepted(c.vms[1], call{method: "POST", path: "/chat/", model: adapter})
				c.restoreStore(from, nil)
				c.eventually(c.registered)
				c.waitLeader()
				for _, v := range c.vms {
					require.Equal(t, vms, v.fleet.size(), v.settings.VM)
				}
			}
			c.configure(nil)
			c.eventually(c.inForce)
			got := c.sendUntilAccepted(c.vms[2], call{method: "POST", path: "/chat/", model: "m0/a3"})
			require.Equal(t, http.StatusOK, got.status, got.body)
			cancel()
			require.Equal(t, 1, most())
			for _, engine := range engines {
				requireRisingTokens(t, engine)
			}
			require.Contains(t, fmt.Sprint(engines[0].Log(), engines[1].Log()), "m0/a3")
			require.Empty(t, c.leasesHeldTwice())
		})
	}
}

// leasesHeldTwice returns the registrations that are bound to a lease of another one.
func (c *cluster) leasesHeldTwice() (out []string) {
	holders := make(map[int64]string)
	for _, v := range c.vms {
		key := v.fleet.registrationKey()
		lease := c.store.LeaseOf(key)
		if other, ok := holders[lease]; ok {
			out = append(out, key, other)
		}
		holders[lease] = key
	}
	return out
}

// Guards against fencing tokens that fall in a rolling restart, when a build that knows no eras leads after this one.
func TestVMsLeaveTheLeadToABuildThatKnowsNoEras(t *testing.T) {
	v := idleVM(t)
	f := v.fleet
	v.store.RaiseEra(1)
	value := []byte(`{"incarnation":7,"callers":"10.0.0.9:1","peers":"127.0.0.1:2","domain":"a"}`)
	f.updateRegistrations(map[string]store.Item{vmPrefix + "other": {Revision: store.NewRevision(1, 5), Value: value}})
	require.True(t, f.eligibleToLead(), "nothing is known of the other's build")
	f.applyReport(t.Context(), &peerpb.VMReport{Vm: "other", Incarnation: 7, Sequence: 1})
	require.False(t, f.eligibleToLead())
	f.applyReport(t.Context(), &peerpb.VMReport{Vm: "other", Incarnation: 7, Sequence: 2, KnowsEras: true})
	require.True(t, f.eligibleToLead())
	f.applyReport(t.Context(), &peerpb.VMReport{Vm: "other", Incarnation: 7, Sequence: 3})
	f.members["other"].lastReport = time.Now().Add(-peerTimeout)
	require.True(t, f.eligibleToLead(), "a silent VM does not lead")
}
