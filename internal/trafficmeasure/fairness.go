package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/admit"
)

// The workload: five teams with equal shares before a pool that serves a fixed
// number of tokens a second. One of them sends several times its share.
const (
	teams          = 5
	poolTokens     = 10000.0
	requestTokens  = 100
	requestWait    = 2 * time.Second
	fairRunFor     = 60 * time.Second
	fairStep       = 10 * time.Millisecond
	heartbeatEvery = time.Second
)

// fairness is what a run showed.
type fairness struct {
	offered, served [teams]int
}

// attained returns a team's share of requests that were served in time.
func (f *fairness) attained(team int) float64 {
	return share(f.served[team], f.offered[team])
}

// others returns the mean and the least over the teams within their share.
func (f *fairness) others() (mean, worst float64) {
	worst = 100
	for team := 1; team < teams; team++ {
		a := f.attained(team)
		mean += a / (teams - 1)
		worst = min(worst, a)
	}
	return mean, worst
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

// runFairness lets team 0 send a multiple of its share while the others send a
// part of theirs, at a number of VMs that each have their part of the pool. With
// skew, each of the others uses one VM only.
func runFairness(o admit.Options, vms int, flood, demand float64, skew bool) *fairness {
	f := &fairness{}
	rng := rand.New(rand.NewPCG(seed, seed))
	queues := make([]*admit.Queue, vms)
	served := make([]map[string]int64, vms)
	for i := range queues {
		queues[i] = admit.New(o)
		served[i] = make(map[string]int64)
		for team := range teams {
			queues[i].SetWeight(teamName(team), 1)
		}
	}
	budget := make([]float64, vms)
	id := uint64(0)
	for now := start; now.Before(start.Add(fairRunFor)); now = now.Add(fairStep) {
		for team := range teams {
			rate := demand
			if team == 0 {
				rate = flood
			}
			expected := rate * poolTokens / teams / requestTokens * fairStep.Seconds()
			for range poisson(rng, expected) {
				vm := rng.IntN(vms)
				if skew && team > 0 {
					vm = team % vms
				}
				id++
				f.offered[team]++
				_, _ = queues[vm].Offer(admit.Request{
					ID: id, Team: teamName(team), Class: "m", Tokens: requestTokens, Deadline: now.Add(requestWait),
				}, now)
			}
		}
		serve(f, queues, served, budget, now)
		if now.Sub(start)%heartbeatEvery == 0 {
			exchange(queues, served)
		}
	}
	return f
}

// serve lets each queue dispatch what its part of the pool takes in a step.
func serve(f *fairness, queues []*admit.Queue, served []map[string]int64, budget []float64, now time.Time) {
	for i, q := range queues {
		q.Expire(now)
		step := poolTokens / float64(len(queues)) * fairStep.Seconds()
		budget[i] = min(budget[i]+step, 2*requestTokens)
		for budget[i] >= requestTokens {
			r, ok := q.Next(now, func(string) bool { return true })
			if !ok {
				break
			}
			budget[i] -= requestTokens
			served[i][r.Team] += r.Tokens
			var team int
			if _, err := fmt.Sscanf(r.Team, "team-%d", &team); err == nil {
				f.served[team]++
			}
		}
	}
}

// exchange tells every queue what the others have served since the last time.
func exchange(queues []*admit.Queue, served []map[string]int64) {
	for i, q := range queues {
		elsewhere := make(map[string]int64)
		for j := range served {
			if j == i {
				continue
			}
			for team, n := range served[j] {
				elsewhere[team] += n
			}
		}
		q.ServedElsewhere(elsewhere)
	}
	for i := range served {
		clear(served[i])
	}
}

// poisson draws how many arrive in a step in which a number is expected.
func poisson(rng *rand.Rand, expected float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < expected; t += rng.ExpFloat64() {
		n++
	}
	return n
}

func measureFairness(w io.Writer) {
	fmt.Fprintf(w, "fairness: %d teams of equal weight, %.0f tokens a second, deadlines of %v, served in time\n", teams, poolTokens, requestWait)
	fmt.Fprintln(w, "case\torder\tmean of the others\tworst of the others\tworst / mean\tthe team beyond its share")
	for _, c := range []struct {
		name          string
		vms           int
		flood, demand float64
		skew          bool
	}{
		{"1 VM, all at 0.9 of their share", 1, 0.9, 0.9, false},
		{"1 VM, one at 5 times its share", 1, 5, 0.9, false},
		{"7 VMs, one at 5 times its share", 7, 5, 0.9, false},
		{"4 VMs, one at 5 times, each other at one VM", 4, 5, 0.9, true},
	} {
		for _, fcfs := range []bool{true, false} {
			name := "weighted fair"
			if fcfs {
				name = "first come"
			}
			f := runFairness(admit.Options{FirstComeFirstServed: fcfs}, c.vms, c.flood, c.demand, c.skew)
			mean, worst := f.others()
			fmt.Fprintf(w, "%s\t%s\t%.1f %%\t%.1f %%\t%.3f\t%.1f %%\n", c.name, name, mean, worst, worst/mean, f.attained(0))
		}
	}
	fmt.Fprintln(w)
}
