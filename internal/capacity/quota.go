package main

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

const (
	// quotaWarmUp is how long VMs take to get their parts.
	quotaWarmUp = 30 * time.Second
	// quotaMeasured is the time that is measured.
	quotaMeasured = 10 * time.Second
	// tokensPerVM is each VM's share of the target's 2.2 million tokens a second.
	tokensPerVM = 2.2e6 / targetVMs
	// demandPeriod is the time between two requests at one VM, at the target's
	// 5,200 requests a second. One team makes them all.
	demandPeriod = 81 * time.Millisecond
)

// measureQuota steps the machines of one team whose demand is four fifths of
// its rate and comes to every VM alike.
func measureQuota() []series {
	cpu := series{role: "entry: limits", name: "processor time", unit: "% of a core", sizeName: "VMs", target: targetVMs}
	sent := series{role: "entry: limits", name: "sent", unit: "KB/s", sizeName: "VMs", target: targetVMs}
	calls := series{role: "key-value service", name: "calls by all VMs' limits", unit: "/s", sizeName: "VMs", target: targetVMs}
	memory := series{role: "entry: limits", name: "memory", unit: "MB", sizeName: "VMs", target: targetVMs}
	for _, n := range vmSizes {
		before := heap()
		bytes := int64(0)
		rate := int64(float64(n) * tokensPerVM)
		w := quotaloop.New(quotaloop.Options{
			VMs: n, Domains: max(3, n/vmsPerDomain), Rate: rate, Burst: 4 * rate, Seed: 1,
			Network: quotaloop.NetworkFaults{Delay: 500 * time.Microsecond},
			Store:   quotaloop.StoreFaults{Delay: 2 * time.Millisecond},
		})
		w.OnSend = func(_, _ string, message quota.Message) {
			bytes += int64(ratelimit.MessageBytes(message)) + frameBytes
		}
		offerDemand(w, n)
		must(w.Run(quotaWarmUp))
		memory.add(n, (heap()-before)/float64(n)/megabyte)
		bytes = 0
		storeCalls := w.Calls
		seconds := timed(func() { must(w.Run(quotaWarmUp + quotaMeasured)) })
		perVM := float64(n) * quotaMeasured.Seconds()
		cpu.add(n, seconds/perVM*percent)
		sent.add(n, float64(bytes)/perVM/kilobyte)
		calls.add(n, float64(w.Calls-storeCalls)/quotaMeasured.Seconds())
	}
	return []series{cpu, sent, calls, memory}
}

// requestTokens is the size of a request: four fifths of the rate over 12.4
// requests a second.
const requestTokens = 339

// offerDemand has each VM ask for tokens at a steady pace.
func offerDemand(w *quotaloop.World, n int) {
	for i := range n {
		vm := quotaloop.VM(i)
		var ask func()
		at := time.Duration(i) * demandPeriod / time.Duration(n)
		ask = func() {
			w.Acquire(vm, requestTokens)
			at += demandPeriod
			w.At(at, ask)
		}
		w.At(at, ask)
	}
}

// must ends the program on a breach of a bound: the figures would be of a
// system that does not keep its promise.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
