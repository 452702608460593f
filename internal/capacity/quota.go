package main

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

const (
	// quotaWarmUp is the time in which the VMs obtain their quota leases before
	// the measurement.
	quotaWarmUp = 30 * time.Second
	// quotaMeasured is the length of the measurement in simulated time.
	quotaMeasured = 10 * time.Second
	// tokensPerSecondAndVM is each VM's share of the target's 2.2 million tokens
	// per second.
	tokensPerSecondAndVM = 2.2e6 / targetVMs
	// requestInterval is the time between two requests at one VM, at the target's
	// 5,200 requests per second. One team sends all of them.
	requestInterval = 81 * time.Millisecond
)

// measureQuota measures the quota state machines of one team whose demand is
// four fifths of its rate and is spread evenly over the VMs.
func measureQuota() []series {
	cpu := series{role: "entry: limits", name: "processor time", unit: "% of a core", sizeName: "VMs", target: targetVMs}
	sent := series{role: "entry: limits", name: "sent", unit: "KB/s", sizeName: "VMs", target: targetVMs}
	calls := series{role: "key-value service", name: "calls by all VMs' limits", unit: "/s", sizeName: "VMs", target: targetVMs}
	memory := series{role: "entry: limits", name: "memory", unit: "MB", sizeName: "VMs", target: targetVMs}
	for _, n := range vmSizes {
		before := heapBytes()
		bytes := int64(0)
		rate := int64(float64(n) * tokensPerSecondAndVM)
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
		memory.add(n, (heapBytes()-before)/float64(n)/megabyte)
		bytes = 0
		storeCalls := w.StoreCalls
		seconds := measureSeconds(func() { must(w.Run(quotaWarmUp + quotaMeasured)) })
		perVM := float64(n) * quotaMeasured.Seconds()
		cpu.add(n, seconds/perVM*percent)
		sent.add(n, float64(bytes)/perVM/kilobyte)
		calls.add(n, float64(w.StoreCalls-storeCalls)/quotaMeasured.Seconds())
	}
	return []series{cpu, sent, calls, memory}
}

// requestTokens is the cost of a request: four fifths of a VM's share of the rate,
// divided by 12.4 requests per second.
const requestTokens = 339

// offerDemand makes each VM acquire tokens at regular intervals.
func offerDemand(w *quotaloop.World, n int) {
	for i := range n {
		vm := quotaloop.VM(i)
		var acquire func()
		at := time.Duration(i) * requestInterval / time.Duration(n)
		acquire = func() {
			w.Acquire(vm, requestTokens)
			at += requestInterval
			w.At(at, acquire)
		}
		w.At(at, acquire)
	}
}

// must panics on an error, such as a violated bound: the figures would be those of
// a system that does not keep its guarantees.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
