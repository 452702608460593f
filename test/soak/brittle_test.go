package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// brittleSlots is the number of requests that instances of the plain service run at once, as their entries say,
	// brittleWaiting how many more wait, half of it after brittleContact. Each takes brittleServiceTime.
	brittleSlots       = 8
	brittleWaiting     = 8
	brittleServiceTime = 100 * time.Millisecond
	brittleContact     = 3 * time.Second
	// crowdFactor is the number of callers for each slot.
	crowdFactor = 4
	// crowdTime is how long the crowd sends requests before and after a VM is restarted.
	crowdTime = 2 * time.Second
)

// checkBrittle makes the plain service brittle before more callers than it has slots, and checks that its instances are not
// pushed over while a VM restarts.
func (w *world) checkBrittle(r *rand.Rand, seed uint64) {
	if !w.brittle {
		return
	}
	var instances []*upstream
	for _, u := range w.upstreams {
		if u.service == "clerk" {
			instances = append(instances, u)
		}
	}
	for phase, maxRejections := range []int{1, 5, 20} {
		before := fallsOf(instances)
		for _, u := range instances {
			u.SetRoom(brittleSlots, brittleWaiting)
			u.SetBrittle(maxRejections)
		}
		time.Sleep(brittleContact)
		for _, u := range instances {
			u.SetRoom(brittleSlots, brittleWaiting/2)
		}
		crowd := startCrowd(w, seed+uint64(phase), crowdFactor*brittleSlots*len(instances))
		time.Sleep(crowdTime)
		pick(r, w.vms).terminate()
		time.Sleep(crowdTime)
		w.eventually("all VMs are ready beside a brittle service", w.allReady)
		crowd.stopAndWait()
		falls := fallsOf(instances) - before
		w.t.Logf("%d of %d instances that may reject %d requests a second fell over", falls, len(instances), maxRejections)
		if falls > 2+len(instances)/10 {
			w.oracle.reportViolation("brittle", "%d of %d instances that may reject %d requests a second fell over", falls, len(instances), maxRejections)
		}
		for _, u := range instances {
			u.EndBrittle()
		}
		time.Sleep(fallTime)
	}
}

// fallTime is longer than an instance that has fallen over is away.
const fallTime = 2 * time.Second

func fallsOf(instances []*upstream) int {
	sum := 0
	for _, u := range instances {
		_, _, falls := u.RoomCounts()
		sum += falls
	}
	return sum
}
