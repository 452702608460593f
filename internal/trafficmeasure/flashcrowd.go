package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/address"
)

// The workload: callers that all arrive within a minute. Each queries a random VM
// for addresses and uses the first address until the lifetime of the answer ends.
const (
	crowdSize        = 6000
	arrivalWindow    = time.Minute
	vmCapacity       = 2000
	crowdRunDuration = 3 * time.Minute
)

// callerState is one caller and the VM that it uses.
type callerState struct {
	vm         int
	expiresAt  time.Time
	hasAddress bool
}

// addressPolicy is the way in which the VM for a caller is chosen.
type addressPolicy int

const (
	leastLoaded addressPolicy = iota
	shuffled
	weighted
)

// runFlashCrowd returns the largest number of callers on one VM divided by the mean:
// peak is the largest ratio during the arrival window, scaled by the share of callers
// that have arrived, and later is the largest ratio after the window.
func runFlashCrowd(policy addressPolicy, vms int) (peak, later float64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	books := make([]*address.Book, vms)
	for i := range books {
		books[i] = address.New(address.Options{})
	}
	callers := make([]callerState, crowdSize)
	loads := make([]int, vms)
	reportedLoads := make([]int, vms)
	arrived := 0
	for now := startTime; now.Before(startTime.Add(crowdRunDuration)); now = now.Add(10 * time.Millisecond) {
		if now.Sub(startTime)%time.Second == 0 {
			copy(reportedLoads, loads)
			reportLoads(books, reportedLoads, now)
		}
		due := int(float64(crowdSize) * min(1, now.Sub(startTime).Seconds()/arrivalWindow.Seconds()))
		arrived = max(arrived, due)
		for i := range arrived {
			c := &callers[i]
			if c.hasAddress && now.Before(c.expiresAt) {
				continue
			}
			if c.hasAddress {
				loads[c.vm]--
			}
			c.vm, c.expiresAt = chooseVM(policy, books, reportedLoads, now, rng)
			c.hasAddress = true
			loads[c.vm]++
		}
		ratio := maxOverMean(loads)
		if now.Sub(startTime) < arrivalWindow {
			peak = max(peak, ratio*float64(arrived)/crowdSize)
		} else {
			later = max(later, ratio)
		}
	}
	return peak, later
}

func maxOverMean(loads []int) float64 {
	most, sum := 0, 0
	for _, n := range loads {
		most = max(most, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(loads)) / float64(sum)
}

func vmName(i int) string { return fmt.Sprintf("vm%03d", i) }

func reportLoads(books []*address.Book, reportedLoads []int, now time.Time) {
	vms := make([]address.VM, len(reportedLoads))
	for i := range vms {
		vms[i] = address.VM{Name: vmName(i), Ready: true, Capacity: vmCapacity, InFlight: int64(reportedLoads[i]), LastHeartbeat: now}
	}
	for _, b := range books {
		b.SetVMs(vms)
	}
}

func chooseVM(policy addressPolicy, books []*address.Book, reportedLoads []int, now time.Time, rng *rand.Rand) (int, time.Time) {
	switch policy {
	case leastLoaded:
		best := 0
		for i := range reportedLoads {
			if reportedLoads[i] < reportedLoads[best] {
				best = i
			}
		}
		return best, now.Add(address.DefaultLifetime)
	case shuffled:
		return rng.IntN(len(reportedLoads)), now.Add(address.DefaultLifetime)
	}
	answer, err := books[rng.IntN(len(books))].Answer("", len(books), rng)
	if err != nil {
		panic(err)
	}
	var vm int
	if _, err := fmt.Sscanf(answer.VMs[0].Name, "vm%d", &vm); err != nil {
		panic(err)
	}
	return vm, now.Add(answer.Lifetime)
}

func measureFlashCrowd(w io.Writer) {
	fmt.Fprintf(w, "addresses: %d callers within %v, heartbeats every second; the busiest VM over the mean\n", crowdSize, arrivalWindow)
	fmt.Fprintln(w, "VMs\tway\twhile the clients fill\tafter")
	for _, vms := range []int{7, 42} {
		for _, p := range []struct {
			name   string
			policy addressPolicy
		}{{"least loaded at the last heartbeat", leastLoaded}, {"shuffled", shuffled}, {"weighted by spare capacity", weighted}} {
			peak, later := runFlashCrowd(p.policy, vms)
			fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\n", vms, p.name, peak, later)
		}
	}
}
