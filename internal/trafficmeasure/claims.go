package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/claim"
)

// The workload: actions with idempotency keys that arrive at all VMs. A call of the
// key-value service takes 2 ms. Each action is answered 20 ms after its claim is
// granted.
const (
	claimCallLatency = 2 * time.Millisecond
	claimTimeStep    = 250 * time.Microsecond
	actionDuration   = 20 * time.Millisecond
	claimRunDuration = 20 * time.Second
	// claimWriteInterval is the minimum time between two writes of a shard by its
	// preferred VM.
	claimWriteInterval = 20 * time.Millisecond
)

// storedSegment is the value of one key of the service, with its revision.
type storedSegment struct {
	revision int64
	value    []byte
}

// shardClient is one VM's log of one shard, with its call in flight.
type shardClient struct {
	log       *claim.Log
	shard     int
	call      *claim.Call
	callDueAt time.Time
	// nextCallAt is the earliest time of the next call.
	nextCallAt time.Time
}

// claimResult holds the measurements of a run.
type claimResult struct {
	actions, writes, reads, conflicts int
	waits                             []time.Duration
}

// claimSimulation simulates several VMs that use one key-value service.
type claimSimulation struct {
	// preferred means that one VM writes each shard, and that it batches the
	// operations of claimWriteInterval into one write.
	preferred      bool
	result         claimResult
	segments       [claim.Shards][claim.Slots]storedSegment
	revision       int64
	clients        [][]*shardClient
	submittedAt    map[uint64]time.Time
	records        map[uint64]claim.Record
	pendingAnswers []pendingAnswer
	nextID         uint64
}

// pendingAnswer is an action that has been claimed and will be answered.
type pendingAnswer struct {
	answerAt time.Time
	client   *shardClient
	record   claim.Record
}

func newClaimSimulation(vms int, preferred bool) *claimSimulation {
	w := &claimSimulation{preferred: preferred, submittedAt: make(map[uint64]time.Time), records: make(map[uint64]claim.Record)}
	for range vms {
		var logs []*shardClient
		for shard := range claim.Shards {
			logs = append(logs, &shardClient{log: claim.NewLog(claim.Options{}), shard: shard})
		}
		w.clients = append(w.clients, logs)
	}
	for _, logs := range w.clients {
		for _, c := range logs {
			w.preload(c)
		}
	}
	return w
}

// preload reads a shard before the first operation on it, as a VM does when it
// starts.
func (w *claimSimulation) preload(c *shardClient) {
	for call := c.log.NextRead(); call != nil; call = c.log.NextRead() {
		segment := w.segments[c.shard][call.Slot]
		c.log.ReadDone(call.Slot, segment.revision, segment.value)
	}
}

func (w *claimSimulation) submit(c *shardClient, kind claim.Kind, r claim.Record, now time.Time) {
	w.nextID++
	if kind == claim.Claim {
		w.submittedAt[w.nextID] = now
		w.records[w.nextID] = r
	}
	c.log.Submit(claim.Op{ID: w.nextID, Kind: kind, Record: r, Deadline: now.Add(time.Hour)})
}

func (w *claimSimulation) addAction(vm int, now time.Time) {
	w.result.actions++
	name := fmt.Sprint(w.result.actions)
	k := claim.KeyOf("team", name)
	if w.preferred {
		vm = k.Shard() % len(w.clients)
	}
	w.submit(w.clients[vm][k.Shard()], claim.Claim, claim.Record{Key: k, Attempt: name, ClaimedAt: now}, now)
}

func (w *claimSimulation) applyVerdicts(c *shardClient, verdicts []claim.Verdict, now time.Time) {
	for _, v := range verdicts {
		submitted, isClaim := w.submittedAt[v.ID]
		if !isClaim || !v.Granted {
			continue
		}
		w.result.waits = append(w.result.waits, now.Sub(submitted))
		w.pendingAnswers = append(w.pendingAnswers, pendingAnswer{answerAt: now.Add(actionDuration), client: c, record: w.records[v.ID]})
		delete(w.submittedAt, v.ID)
		delete(w.records, v.ID)
	}
}

// step finishes the call in flight if it is due, and starts the next one.
func (w *claimSimulation) step(c *shardClient, now time.Time) {
	if c.call != nil && !now.Before(c.callDueAt) {
		w.finishCall(c, now)
	}
	if c.call != nil || now.Before(c.nextCallAt) {
		return
	}
	call, verdicts := c.log.Next(now)
	w.applyVerdicts(c, verdicts, now)
	if call == nil {
		return
	}
	c.call, c.callDueAt = call, now.Add(claimCallLatency)
	if call.Swap && w.preferred {
		c.nextCallAt = now.Add(claimWriteInterval)
	}
}

func (w *claimSimulation) finishCall(c *shardClient, now time.Time) {
	call := c.call
	c.call = nil
	segment := &w.segments[c.shard][call.Slot]
	if !call.Swap {
		w.result.reads++
		w.applyVerdicts(c, c.log.ReadDone(call.Slot, segment.revision, segment.value), now)
		return
	}
	w.result.writes++
	if segment.revision != call.Expected {
		w.result.conflicts++
		w.applyVerdicts(c, c.log.SwapDone(call.Slot, claim.NoEffect, 0), now)
		return
	}
	w.revision++
	*segment = storedSegment{revision: w.revision, value: call.Value}
	w.applyVerdicts(c, c.log.SwapDone(call.Slot, claim.TookEffect, w.revision), now)
}

func runClaims(vms int, perSecond float64, preferred bool) *claimResult {
	w := newClaimSimulation(vms, preferred)
	rng := rand.New(rand.NewPCG(seed, seed))
	for now := startTime; now.Before(startTime.Add(claimRunDuration)); now = now.Add(claimTimeStep) {
		for range poisson(rng, perSecond*claimTimeStep.Seconds()) {
			w.addAction(rng.IntN(vms), now)
		}
		w.pendingAnswers = slices.DeleteFunc(w.pendingAnswers, func(a pendingAnswer) bool {
			if a.answerAt.After(now) {
				return false
			}
			a.record.Answer = &claim.Answer{Status: 200, Body: make([]byte, 200)}
			w.submit(a.client, claim.Store, a.record, now)
			return true
		})
		for _, logs := range w.clients {
			for _, c := range logs {
				w.step(c, now)
			}
		}
	}
	slices.Sort(w.result.waits)
	return &w.result
}

func measureClaims(w io.Writer) {
	fmt.Fprintf(w, "claims: calls of the service take %v, actions are answered after %v\n", claimCallLatency, actionDuration)
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
					float64(c.writes)/n, percent(c.conflicts, c.writes), float64(c.reads)/n, float64(c.writes)/claimRunDuration.Seconds(),
					c.waits[len(c.waits)/2].Round(time.Microsecond), c.waits[len(c.waits)*99/100].Round(time.Microsecond))
			}
		}
	}
}
