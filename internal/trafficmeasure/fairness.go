package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/admit"
)

// The workload: five teams with equal shares of a pool that serves a fixed number
// of tokens per second. One of them sends several times its share.
const (
	teamCount           = 5
	poolTokensPerSecond = 10000.0
	requestTokens       = 100
	requestTimeout      = 2 * time.Second
	fairRunDuration     = 60 * time.Second
	fairTimeStep        = 10 * time.Millisecond
	heartbeatInterval   = time.Second
)

// fairnessResult holds the numbers of requests that each team offered and that were
// served before their deadlines.
type fairnessResult struct {
	offered, served [teamCount]int
}

// attainment returns the percentage of a team's requests that were served in time.
func (f *fairnessResult) attainment(team int) float64 {
	return percent(f.served[team], f.offered[team])
}

// attainmentOfOthers returns the mean and the lowest attainment of the teams that
// stay within their share: all but team 0.
func (f *fairnessResult) attainmentOfOthers() (mean, worst float64) {
	worst = 100
	for team := 1; team < teamCount; team++ {
		attainment := f.attainment(team)
		mean += attainment / (teamCount - 1)
		worst = min(worst, attainment)
	}
	return mean, worst
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

// runFairness simulates a run in which team 0 sends firstTeamLoad times its share
// and each other team otherTeamsLoad times its share, over a number of VMs with
// equal parts of the pool. With skew, each of the other teams uses one VM only.
func runFairness(o admit.Options, vms int, firstTeamLoad, otherTeamsLoad float64, skew bool) *fairnessResult {
	f := &fairnessResult{}
	rng := rand.New(rand.NewPCG(seed, seed))
	queues := make([]*admit.Queue, vms)
	served := make([]map[string]int64, vms)
	for i := range queues {
		queues[i] = admit.New(o)
		served[i] = make(map[string]int64)
		for team := range teamCount {
			queues[i].SetWeight(teamName(team), 1)
		}
	}
	budgets := make([]float64, vms)
	id := uint64(0)
	for now := startTime; now.Before(startTime.Add(fairRunDuration)); now = now.Add(fairTimeStep) {
		for team := range teamCount {
			rate := otherTeamsLoad
			if team == 0 {
				rate = firstTeamLoad
			}
			expected := rate * poolTokensPerSecond / teamCount / requestTokens * fairTimeStep.Seconds()
			for range poisson(rng, expected) {
				vm := rng.IntN(vms)
				if skew && team > 0 {
					vm = team % vms
				}
				id++
				f.offered[team]++
				_, _ = queues[vm].Offer(admit.Request{
					ID: id, Team: teamName(team), Class: "m", Tokens: requestTokens, Deadline: now.Add(requestTimeout),
				}, now)
			}
		}
		dispatchStep(f, queues, served, budgets, now)
		if now.Sub(startTime)%heartbeatInterval == 0 {
			exchangeServed(queues, served)
		}
	}
	return f
}

// dispatchStep dispatches from each queue the requests that its part of the pool
// can serve in one time step.
func dispatchStep(f *fairnessResult, queues []*admit.Queue, served []map[string]int64, budgets []float64, now time.Time) {
	for i, q := range queues {
		q.Expire(now)
		step := poolTokensPerSecond / float64(len(queues)) * fairTimeStep.Seconds()
		budgets[i] = min(budgets[i]+step, 2*requestTokens)
		for budgets[i] >= requestTokens {
			r, ok := q.Next(now, func(string) bool { return true })
			if !ok {
				break
			}
			budgets[i] -= requestTokens
			served[i][r.Team] += r.Tokens
			var team int
			if _, err := fmt.Sscanf(r.Team, "team-%d", &team); err == nil {
				f.served[team]++
			}
		}
	}
}

// exchangeServed reports to every queue the tokens that the other queues have
// served since the last exchange.
func exchangeServed(queues []*admit.Queue, served []map[string]int64) {
	for i, q := range queues {
		servedElsewhere := make(map[string]int64)
		for j := range served {
			if j == i {
				continue
			}
			for team, n := range served[j] {
				servedElsewhere[team] += n
			}
		}
		q.ServedElsewhere(servedElsewhere)
	}
	for i := range served {
		clear(served[i])
	}
}

// poisson draws the number of arrivals in a step, given the expected number.
func poisson(rng *rand.Rand, expected float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < expected; t += rng.ExpFloat64() {
		n++
	}
	return n
}

func measureFairness(w io.Writer) {
	fmt.Fprintf(w, "fairness: %d teams of equal weight, %.0f tokens a second, deadlines of %v, served in time\n", teamCount, poolTokensPerSecond, requestTimeout)
	fmt.Fprintln(w, "case\torder\tmean of the others\tworst of the others\tworst / mean\tthe team beyond its share")
	for _, c := range []struct {
		name                          string
		vms                           int
		firstTeamLoad, otherTeamsLoad float64
		skew                          bool
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
			f := runFairness(admit.Options{FirstComeFirstServed: fcfs}, c.vms, c.firstTeamLoad, c.otherTeamsLoad, c.skew)
			mean, worst := f.attainmentOfOthers()
			fmt.Fprintf(w, "%s\t%s\t%.1f %%\t%.1f %%\t%.3f\t%.1f %%\n", c.name, name, mean, worst, worst/mean, f.attainment(0))
		}
	}
	fmt.Fprintln(w)
}
