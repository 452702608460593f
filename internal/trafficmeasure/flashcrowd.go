package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/address"
)

// The workload: callers that all arrive within a minute. Every one of them asks
// some VM once and then stays at the first address until its time is up.
const (
	crowd      = 6000
	arriveFor  = time.Minute
	vmCapacity = 2000
	crowdFor   = 3 * time.Minute
)

// client is a caller.
type client struct {
	vm    int
	until time.Time
	taken bool
}

// way says how an answer is made.
type way int

const (
	leastLoaded way = iota
	shuffled
	weighted
)

// runFlashCrowd returns the largest number of callers that a VM had, over the mean, at
// the end of the minute and at any time after.
func runFlashCrowd(m way, vms int) (peak, later float64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	books := make([]*address.Book, vms)
	for i := range books {
		books[i] = address.New(address.Options{})
	}
	clients := make([]client, crowd)
	load := make([]int, vms)
	known := make([]int, vms)
	arrived := 0
	for now := start; now.Before(start.Add(crowdFor)); now = now.Add(10 * time.Millisecond) {
		if now.Sub(start)%time.Second == 0 {
			copy(known, load)
			tell(books, known, now)
		}
		due := int(float64(crowd) * min(1, now.Sub(start).Seconds()/arriveFor.Seconds()))
		arrived = max(arrived, due)
		for i := range arrived {
			s := &clients[i]
			if s.taken && now.Before(s.until) {
				continue
			}
			if s.taken {
				load[s.vm]--
			}
			s.vm, s.until = ask(m, books, known, now, rng)
			s.taken = true
			load[s.vm]++
		}
		over := overMean(load)
		if now.Sub(start) < arriveFor {
			peak = max(peak, over*float64(arrived)/crowd)
		} else {
			later = max(later, over)
		}
	}
	return peak, later
}

func overMean(load []int) float64 {
	most, sum := 0, 0
	for _, n := range load {
		most = max(most, n)
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(load)) / float64(sum)
}

func vmName(i int) string { return fmt.Sprintf("vm%03d", i) }

func tell(books []*address.Book, known []int, now time.Time) {
	vms := make([]address.VM, len(known))
	for i := range vms {
		vms[i] = address.VM{Name: vmName(i), Ready: true, Capacity: vmCapacity, InFlight: int64(known[i]), HeardAt: now}
	}
	for _, b := range books {
		b.SetVMs(vms)
	}
}

func ask(m way, books []*address.Book, known []int, now time.Time, rng *rand.Rand) (int, time.Time) {
	switch m {
	case leastLoaded:
		best := 0
		for i := range known {
			if known[i] < known[best] {
				best = i
			}
		}
		return best, now.Add(address.DefaultLifetime)
	case shuffled:
		return rng.IntN(len(known)), now.Add(address.DefaultLifetime)
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
	fmt.Fprintf(w, "addresses: %d callers within %v, heartbeats every second; the busiest VM over the mean\n", crowd, arriveFor)
	fmt.Fprintln(w, "VMs\tway\twhile the clients fill\tafter")
	for _, vms := range []int{7, 42} {
		for _, m := range []struct {
			name string
			way  way
		}{{"least loaded at the last heartbeat", leastLoaded}, {"shuffled", shuffled}, {"weighted by spare capacity", weighted}} {
			peak, later := runFlashCrowd(m.way, vms)
			fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\n", vms, m.name, peak, later)
		}
	}
}
