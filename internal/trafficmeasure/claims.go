package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/claim"
)

// The workload: keyed actions that come to all VMs, before a service that takes two
// milliseconds for a call. Each action is answered 20 ms after its claim.
const (
	claimCall   = 2 * time.Millisecond
	claimStep   = 250 * time.Microsecond
	claimRun    = 20 * time.Millisecond
	claimRunFor = 20 * time.Second
	// claimWindow is the least time between two writes of a shard.
	claimWindow = 20 * time.Millisecond
)

// place is one key of the service.
type place struct {
	revision int64
	value    []byte
}

// claimant is one VM's log of one shard, with its call under way.
type claimant struct {
	log   *claim.Log
	shard int
	call  *claim.Call
	due   time.Time
	// idle is when the next call may be made.
	idle time.Time
}

// claims is what a run showed.
type claims struct {
	actions, writes, reads, conflicts int
	waits                             []time.Duration
}

// claimWorld is several VMs before one service.
type claimWorld struct {
	// preferred has one VM write each shard, and gathers what comes within the
	// window.
	preferred bool
	out       claims
	places    [claim.Shards][claim.Slots]place
	revision  int64
	vms       [][]*claimant
	came      map[uint64]time.Time
	records   map[uint64]claim.Record
	answers   []answering
	nextID    uint64
}

// answering is an action that will be answered.
type answering struct {
	at     time.Time
	owner  *claimant
	record claim.Record
}

func newClaimWorld(vms int, preferred bool) *claimWorld {
	w := &claimWorld{preferred: preferred, came: make(map[uint64]time.Time), records: make(map[uint64]claim.Record)}
	for range vms {
		var logs []*claimant
		for shard := range claim.Shards {
			logs = append(logs, &claimant{log: claim.NewLog(claim.Options{}), shard: shard})
		}
		w.vms = append(w.vms, logs)
	}
	for _, logs := range w.vms {
		for _, c := range logs {
			w.warm(c)
		}
	}
	return w
}

// warm reads a shard before anybody asks for it, as a VM does when it starts.
func (w *claimWorld) warm(c *claimant) {
	for call := c.log.Load(); call != nil; call = c.log.Load() {
		at := w.places[c.shard][call.Slot]
		c.log.Read(call.Slot, at.revision, at.value)
	}
}

func (w *claimWorld) submit(c *claimant, kind claim.Kind, r claim.Record, now time.Time) {
	w.nextID++
	if kind == claim.Claim {
		w.came[w.nextID] = now
		w.records[w.nextID] = r
	}
	c.log.Submit(claim.Op{ID: w.nextID, Kind: kind, Record: r, Deadline: now.Add(time.Hour)})
}

func (w *claimWorld) arrive(vm int, now time.Time) {
	w.out.actions++
	name := fmt.Sprint(w.out.actions)
	k := claim.KeyOf("team", name)
	if w.preferred {
		vm = k.Shard() % len(w.vms)
	}
	w.submit(w.vms[vm][k.Shard()], claim.Claim, claim.Record{Key: k, Attempt: name, ClaimedAt: now}, now)
}

func (w *claimWorld) take(c *claimant, verdicts []claim.Verdict, now time.Time) {
	for _, v := range verdicts {
		came, isClaim := w.came[v.ID]
		if !isClaim || !v.Granted {
			continue
		}
		w.out.waits = append(w.out.waits, now.Sub(came))
		w.answers = append(w.answers, answering{at: now.Add(claimRun), owner: c, record: w.records[v.ID]})
		delete(w.came, v.ID)
		delete(w.records, v.ID)
	}
}

// step finishes the calls that are due and begins others.
func (w *claimWorld) step(c *claimant, now time.Time) {
	if c.call != nil && !now.Before(c.due) {
		w.finish(c, now)
	}
	if c.call != nil || now.Before(c.idle) {
		return
	}
	call, verdicts := c.log.Next(now)
	w.take(c, verdicts, now)
	if call == nil {
		return
	}
	c.call, c.due = call, now.Add(claimCall)
	if call.Swap && w.preferred {
		c.idle = now.Add(claimWindow)
	}
}

func (w *claimWorld) finish(c *claimant, now time.Time) {
	call := c.call
	c.call = nil
	at := &w.places[c.shard][call.Slot]
	if !call.Swap {
		w.out.reads++
		w.take(c, c.log.Read(call.Slot, at.revision, at.value), now)
		return
	}
	w.out.writes++
	if at.revision != call.Expected {
		w.out.conflicts++
		w.take(c, c.log.Swapped(call.Slot, claim.DidNot, 0), now)
		return
	}
	w.revision++
	*at = place{revision: w.revision, value: call.Value}
	w.take(c, c.log.Swapped(call.Slot, claim.TookEffect, w.revision), now)
}

func runClaims(vms int, perSecond float64, preferred bool) *claims {
	w := newClaimWorld(vms, preferred)
	rng := rand.New(rand.NewPCG(seed, seed))
	for now := start; now.Before(start.Add(claimRunFor)); now = now.Add(claimStep) {
		for range poisson(rng, perSecond*claimStep.Seconds()) {
			w.arrive(rng.IntN(vms), now)
		}
		w.answers = slices.DeleteFunc(w.answers, func(a answering) bool {
			if a.at.After(now) {
				return false
			}
			a.record.Answer = &claim.Answer{Status: 200, Body: make([]byte, 200)}
			w.submit(a.owner, claim.Store, a.record, now)
			return true
		})
		for _, logs := range w.vms {
			for _, c := range logs {
				w.step(c, now)
			}
		}
	}
	slices.Sort(w.out.waits)
	return &w.out
}

func measureClaims(w io.Writer) {
	fmt.Fprintf(w, "claims: calls of the service take %v, actions are answered after %v\n", claimCall, claimRun)
	fmt.Fprintln(w, "VMs\tactions/s\twritten by\twrites an action\tof them in vain\treads an action\twrites/s\tp50 to the claim\tp99")
	for _, vms := range []int{7, 42} {
		for _, rate := range []float64{10, 100, 400} {
			for _, preferred := range []bool{false, true} {
				by := "every VM, at once"
				if preferred {
					by = "one VM a shard, within 20 ms"
				}
				c := runClaims(vms, rate, preferred)
				n := float64(c.actions)
				fmt.Fprintf(w, "%d\t%.0f\t%s\t%.2f\t%.1f %%\t%.2f\t%.0f\t%v\t%v\n", vms, rate, by,
					float64(c.writes)/n, share(c.conflicts, c.writes), float64(c.reads)/n, float64(c.writes)/claimRunFor.Seconds(),
					c.waits[len(c.waits)/2].Round(time.Microsecond), c.waits[len(c.waits)*99/100].Round(time.Microsecond))
			}
		}
	}
}
