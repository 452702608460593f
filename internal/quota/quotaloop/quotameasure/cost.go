package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

const (
	costTeams       = 5
	costLoadPercent = 80
	costDuration    = 30 * time.Second
	costRounds      = 120
	costDomains     = 38
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// quotaCost simulates a fleet whose demand is four fifths of the rate and is spread
// over all VMs, and prints its cost. Requests and tokens per VM are the same at each
// size: those of the target of 420 VMs.
func quotaCost(vms int) error {
	const tokensPerVM, requestsPerVM = 2_200_000 / 420, 5_200.0 / 420
	rate := int64(tokensPerVM * vms / costTeams)
	before := heapBytes()
	w := quotaloop.New(quotaloop.Options{
		VMs: vms, Domains: min(vms, costDomains), Teams: costTeams, Rate: rate, Burst: 2 * rate, Seed: 1,
		Network: quotaloop.NetworkFaults{Delay: 250 * time.Microsecond, Jitter: 200 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond},
		Tick:    20 * time.Millisecond,
	})
	var bytes, refused, requests int64
	causes := make(map[quota.Cause]int64)
	kinds := make(map[string]int64)
	var batches int64
	lastRequestAt := make(map[[2]string]time.Duration)
	w.OnSend = func(from, to string, m quota.Message) {
		// Messages of one step to one VM share one call, and their answers return in
		// that call.
		if pair := [2]string{from, to}; lastRequestAt[pair] != w.Now && isRequest(m) {
			lastRequestAt[pair] = w.Now
			batches++
		}
		kinds[kindOf(m)]++
		bytes += int64(ratelimit.MessageBytes(m))
	}
	w.OnVerdict = func(_ string, _ int64, v quota.Verdict, _ time.Duration, ideal bool) {
		requests++
		if !v.Admitted && ideal {
			refused++
			causes[v.Cause]++
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var ideal []*quotaloop.IdealBucket
	for range costTeams {
		ideal = append(ideal, quotaloop.NewIdealBucket(rate, 2*rate))
	}
	var arrive func()
	arrive = func() {
		tokens := 1 + int64(rng.ExpFloat64()*tokensPerVM/requestsPerVM)
		team := rng.IntN(costTeams)
		w.AcquireTagged(quotaloop.VM(rng.IntN(vms)), team, tokens, ideal[team].Take(w.Now, tokens))
		gap := rng.ExpFloat64() * float64(time.Second) * 100 / costLoadPercent / (requestsPerVM * float64(vms))
		w.At(w.Now+time.Duration(gap), arrive)
	}
	if err := w.Run(warmUp); err != nil {
		return err
	}
	w.At(w.Now, arrive)
	sent, calls, used := w.MessagesSent, w.StoreCalls, processorTime()
	bytes = 0
	batches = 0
	clear(kinds)
	if err := w.Run(warmUp + costDuration); err != nil {
		return err
	}
	used = processorTime() - used
	perVM := float64(vms) * costDuration.Seconds()
	memory := float64(heapBytes()-before) / float64(vms) / 1024
	fmt.Printf("| %d | %.1f | %.1f | %.2f KB/s | %.3f%% | %.0f KB | %.1f | %s | %v | %v |\n", vms,
		float64(w.MessagesSent-sent)/perVM, float64(batches)/perVM, float64(bytes)/perVM/1000, 100*used.Seconds()/perVM, memory,
		float64(w.StoreCalls-calls)/costDuration.Seconds(), percent(refused, requests), causes, kinds)
	runtime.KeepAlive(w)
	return nil
}

// isRequest reports whether a message starts a call.
func isRequest(m quota.Message) bool {
	switch m.(type) {
	case quota.Answer, quota.Renewed, quota.Promise:
		return false
	default:
		return true
	}
}

// kindOf returns the name of a message's kind for the table.
func kindOf(m quota.Message) string {
	switch m := m.(type) {
	case quota.Ask:
		switch {
		case m.Collect:
			return "ask to collect"
		case m.Ahead && m.Balance > 0:
			return "ask for balance"
		case m.Ahead:
			return "ask for units"
		default:
			return "ask for a request"
		}
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", m), "quota.")
	}
}

// membershipCost simulates the membership machines of a fleet and prints their cost.
func membershipCost(vms int) {
	now := time.Unix(0, 0)
	states := make(map[string]*membership.State, vms)
	var all []*membership.State
	var addresses []string
	before := heapBytes()
	for i := range vms {
		address := fmt.Sprintf("10.%d.%d.1:7000", i/256, i%256)
		s := membership.New(membership.Config{}, membership.Node{
			VM: quotaloop.VM(i), Incarnation: 1_780_000_000_000_000_000, Ready: true, PeerAddress: address,
			CallerURL: "https://" + address, FailureDomain: fmt.Sprintf("gt-central-%d", i%min(vms, costDomains)),
			ServedTokens: map[string]int64{"a": 1 << 30, "b": 1 << 30, "c": 1 << 30, "d": 1 << 30, "e": 1 << 30},
		})
		states[address] = s
		all = append(all, s)
		addresses = append(addresses, address)
	}
	var messages, bytes int64
	count := func(m proto.Message) { messages++; bytes += int64(proto.Size(m)) }
	round := func() {
		now = now.Add(time.Second)
		for _, s := range all {
			s.UpdateSelf(func(*membership.Node) {})
			s.SetSeeds(addresses[:min(vms, 3)])
			s.Tick(now)
			for _, target := range s.Targets(now) {
				other := states[target]
				rumors := s.Rumors()
				count(&peerpb.HeartbeatRequest{Sender: peer.EncodeNode(s.Self()), Heard: peer.EncodeNodes(rumors)})
				other.Receive(now, s.Self(), rumors)
				other.UpdateSelf(func(*membership.Node) {})
				rumors = other.Rumors()
				count(&peerpb.HeartbeatResponse{Receiver: peer.EncodeNode(other.Self()), Heard: peer.EncodeNodes(rumors)})
				s.Receive(now, other.Self(), rumors)
			}
			s.View(now)
		}
	}
	for range costRounds {
		round()
	}
	messages, bytes = 0, 0
	used := processorTime()
	for range costRounds {
		round()
	}
	used = processorTime() - used
	perVM := float64(vms) * costRounds
	known := len(all[0].View(now).Healthy())
	fmt.Printf("| %d | %.1f | %.2f KB/s | %.3f%% | %.0f KB | %d |\n", vms, float64(messages)/perVM,
		float64(bytes)/perVM/1000, 100*used.Seconds()/perVM, float64(heapBytes()-before)/float64(vms)/1024, known)
	runtime.KeepAlive(all)
	runtime.KeepAlive(states)
}

func measureCost(sizes []int) error {
	fmt.Println("quota, per VM and second: messages and calls sent, payload sent, share of a core including the work of the simulation, heap; key-value calls per second of the whole fleet; share of requests refused although the ideal bucket admits them, with their causes; total messages by kind")
	fmt.Println("| VMs | messages | calls | payload | core | heap | kv calls/s | refused | causes | kinds |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, vms := range sizes {
		if err := quotaCost(vms); err != nil {
			return err
		}
	}
	fmt.Println("\nmembership, per VM and second: messages sent, payload sent, share of a core, heap; VMs that the first VM knows to be healthy")
	fmt.Println("| VMs | messages | payload | core | heap | known |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, vms := range sizes {
		membershipCost(vms)
	}
	return nil
}
