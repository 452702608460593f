package vm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	brittleSlots, brittleWaiting = 8, 4
	brittleServiceTime           = 800 * time.Millisecond
	// brittleWindow is the time in which served requests are counted.
	brittleWindow = 4 * brittleServiceTime
	// brittleContact is the time after which a brittle upstream may let fewer requests wait.
	brittleContact = time.Second
)

// brittleUpstreams returns instances of a plain service with bounded room.
func brittleUpstreams(n int) []*standin.Replica {
	out := make([]*standin.Replica, n)
	for i := range out {
		out[i] = standin.NewReplica(fmt.Sprintf("clerk-%d", i), 0)
		out[i].ServiceTime = brittleServiceTime
		out[i].SetRoom(brittleSlots, brittleWaiting)
	}
	return out
}

func countFalls(upstreams []*standin.Replica) (served, falls int) {
	for _, r := range upstreams {
		s, _, f := r.RoomCounts()
		served, falls = served+s, falls+f
	}
	return served, falls
}

// load sends requests at a rate through random ones of the VMs that run now, until stop is called.
func (c *cluster) load(perSecond float64) (stop func()) {
	ended, vms := make(chan struct{}), slices.Clone(c.vms)
	var wg sync.WaitGroup
	wg.Go(func() {
		random := rand.New(rand.NewPCG(1, 2))
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			v := vms[random.IntN(len(vms))]
			if v.draining.Load() || !v.ready() {
				continue
			}
			wg.Go(func() { c.send(v, call{method: "GET", path: "/look/"}) })
		}
	})
	return sync.OnceFunc(func() {
		close(ended)
		wg.Wait()
	})
}

// replaceVM stops a VM while others run, and starts another one.
func (c *cluster) replaceVM(v *testVM) {
	v.stop()
	c.startIn(v.settings.VM+"2", v.settings.FailureDomain)
}

// Upstreams that are full and brittle fall over one after the other when each VM sends a few requests too many.
func TestBrittleUpstreamsAreNotPushedOver(t *testing.T) {
	for _, s := range []struct{ vms, upstreams, maxRejections int }{{6, 3, 1}, {18, 3, 20}} {
		t.Run(fmt.Sprintf("%d VMs, %d rejections", s.vms, s.maxRejections), func(t *testing.T) {
			upstreams := brittleUpstreams(s.upstreams)
			c := newCluster(t, upstreams...)
			for i := range s.vms {
				c.startIn(string(rune('a'+i)), string(rune('a'+i%2)))
			}
			capacity := float64(s.upstreams*brittleSlots) / brittleServiceTime.Seconds()
			stop := c.load(capacity * 0.9)
			time.Sleep(time.Second)
			before, _ := countFalls(upstreams)
			time.Sleep(brittleWindow)
			after, _ := countFalls(upstreams)
			sound := after - before
			for _, r := range upstreams {
				r.SetBrittle(s.maxRejections)
			}
			time.Sleep(brittleContact)
			stop()
			_, early := countFalls(upstreams)
			for _, r := range upstreams {
				r.SetRoom(brittleSlots, brittleWaiting/2)
			}
			stop = c.load(capacity * 4)
			defer stop()
			c.replaceVM(c.vms[0])
			time.Sleep(time.Second)
			before, _ = countFalls(upstreams)
			time.Sleep(brittleWindow)
			after, falls := countFalls(upstreams)
			t.Logf("%d falls, %d of them at first, %d requests served, %d when the upstreams were sound", falls, early, after-before, sound)
			require.LessOrEqual(t, falls, 2+s.upstreams/10)
			require.GreaterOrEqual(t, float64(after-before), 0.9*float64(sound), "served, of %d when the upstreams were sound", sound)
			stop()
			for _, r := range upstreams {
				r.EndBrittle()
			}
			c.eventually(func() bool {
				c.countLooks(c.vms[1], 3)
				return len(c.vms[1].assigner.BrittleServices()) == 0
			})
		})
	}
}
