package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// vmSizes are the fleets that are measured: today's, and up to the target's.
var vmSizes = []int{7, 42, 126, 420}

const (
	targetVMs = 420
	// vmsPerDomain is the target's 420 VMs over 38 failure domains, rounded.
	vmsPerDomain = 11
	// settleRounds let every VM learn of every other before the measurement.
	settleRounds = 100
	// measuredRounds are seconds of heartbeats that are measured.
	measuredRounds = 20
	// teamsReported is the number of teams whose served tokens ride along.
	teamsReported = 40
	// teamsServed is how many of them a VM serves in a second: one for each of
	// the target's 12.4 requests a second and VM.
	teamsServed = 12
	// frameBytes is what HTTP/2 and TCP add to a message, about: a header
	// frame, a data frame and two acknowledgements.
	frameBytes = 200
)

// vmFleet is a number of VMs that exchange heartbeats once a second.
type vmFleet struct {
	now    time.Time
	order  []*membership.State
	states map[string]*membership.State
	calls  int64
	bytes  int64
}

func newVMFleet(n int) *vmFleet {
	f := &vmFleet{now: time.Unix(0, 0), states: make(map[string]*membership.State, n)}
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7443", i/250, i%250)
		s := membership.New(membership.Config{}, membership.Node{
			VM: fmt.Sprintf("vm%03d", i), Incarnation: 1, Ready: true, PeerAddress: address,
			FailureDomain: fmt.Sprintf("d%d", i/vmsPerDomain), CallerURL: "https://" + address,
		})
		s.SetSeeds([]string{"10.0.0.0:7443", "10.0.0.1:7443"})
		f.states[address] = s
		f.order = append(f.order, s)
	}
	return f
}

// served returns the counters of one second: a dozen teams' have moved.
func (f *vmFleet) served() map[string]int64 {
	served := make(map[string]int64, teamsReported)
	second := f.now.Unix()
	for i := range int64(teamsReported) {
		moved := second
		if i >= teamsServed {
			moved = 0
		}
		served[fmt.Sprintf("team-%02d", i)] = i*1_000_003 + moved*423
	}
	return served
}

// round is one second. With count, the messages are encoded to learn their size.
func (f *vmFleet) round(count bool) {
	f.now = f.now.Add(time.Second)
	served := f.served()
	for _, s := range f.order {
		s.UpdateSelf(func(n *membership.Node) { n.ServedTokens = served })
		s.Tick(f.now)
		for _, target := range s.Targets(f.now) {
			other, known := f.states[target]
			if !known {
				continue
			}
			asked, answered := s.Rumors(), other.Rumors()
			other.Receive(f.now, s.Report(), asked)
			s.Receive(f.now, other.Report(), answered)
			if count {
				f.count(s, asked)
				f.count(other, answered)
			}
		}
		s.View(f.now)
	}
}

func (f *vmFleet) count(sender *membership.State, heard []membership.Node) {
	f.calls++
	message := &peerpb.HeartbeatRequest{Sender: peer.EncodeNode(sender.Report()), Heard: peer.EncodeNodes(heard)}
	f.bytes += int64(proto.Size(message)) + frameBytes
}

func measureMembership() []series {
	cpu := series{role: "entry: membership", name: "processor time", unit: "% of a core", sizeName: "VMs", target: targetVMs}
	sent := series{role: "entry: membership", name: "sent", unit: "KB/s", sizeName: "VMs", target: targetVMs}
	calls := series{role: "entry: membership", name: "messages sent", unit: "/s", sizeName: "VMs", target: targetVMs}
	memory := series{role: "entry: membership", name: "memory", unit: "MB", sizeName: "VMs", target: targetVMs}
	for _, n := range vmSizes {
		before := heap()
		f := newVMFleet(n)
		for range settleRounds {
			f.round(false)
		}
		memory.add(n, (heap()-before)/float64(n)/megabyte)
		seconds := timed(func() {
			for range measuredRounds {
				f.round(false)
			}
		})
		perVM := float64(n * measuredRounds)
		cpu.add(n, seconds/perVM*percent)
		for range measuredRounds {
			f.round(true)
		}
		sent.add(n, float64(f.bytes)/perVM/kilobyte)
		calls.add(n, float64(f.calls)/perVM)
	}
	return []series{cpu, sent, calls, memory}
}
