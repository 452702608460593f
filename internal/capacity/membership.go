package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// vmSizes are the numbers of VMs that are measured, from today's to the target's.
var vmSizes = []int{7, 42, 126, 420}

const (
	targetVMs = 420
	// vmsPerDomain is the target's 420 VMs divided by 38 failure domains, rounded.
	vmsPerDomain = 11
	// settleSeconds is the number of seconds of heartbeats before the
	// measurement, in which every VM learns of every other.
	settleSeconds = 100
	// measuredSeconds is the number of seconds of heartbeats that are measured.
	measuredSeconds = 20
	// teamsReported is the number of teams whose served tokens are reported in
	// heartbeats.
	teamsReported = 40
	// teamsServedPerSecond is the number of these teams that a VM serves in a
	// second: one for each of the target's 12.4 requests per second and VM.
	teamsServedPerSecond = 12
	// frameBytes is the approximate overhead of HTTP/2 and TCP for a message: a
	// header frame, a data frame and two acknowledgements.
	frameBytes = 200
)

// vmFleet is a number of simulated VMs that exchange heartbeats once a second.
type vmFleet struct {
	now          time.Time
	vms          []*membership.State
	vmsByAddress map[string]*membership.State
	messages     int64
	bytes        int64
}

func newVMFleet(n int) *vmFleet {
	f := &vmFleet{now: time.Unix(0, 0), vmsByAddress: make(map[string]*membership.State, n)}
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7443", i/250, i%250)
		s := membership.New(membership.Config{}, membership.Node{
			VM: fmt.Sprintf("vm%03d", i), Incarnation: 1, Ready: true, PeerAddress: address,
			FailureDomain: fmt.Sprintf("d%d", i/vmsPerDomain), CallerURL: "https://" + address,
		})
		s.SetSeeds([]string{"10.0.0.0:7443", "10.0.0.1:7443"})
		f.vmsByAddress[address] = s
		f.vms = append(f.vms, s)
	}
	return f
}

// servedTokens returns the teams' counters of served tokens. Each second, those
// of a dozen teams increase.
func (f *vmFleet) servedTokens() map[string]int64 {
	served := make(map[string]int64, teamsReported)
	second := f.now.Unix()
	for i := range int64(teamsReported) {
		increase := second
		if i >= teamsServedPerSecond {
			increase = 0
		}
		served[fmt.Sprintf("team-%02d", i)] = i*1_000_003 + increase*423
	}
	return served
}

// step simulates one second. With measure, the messages are encoded and their
// number and size are counted.
func (f *vmFleet) step(measure bool) {
	f.now = f.now.Add(time.Second)
	served := f.servedTokens()
	for _, s := range f.vms {
		s.UpdateSelf(func(n *membership.Node) { n.ServedTokens = served })
		s.Tick(f.now)
		for _, target := range s.Targets(f.now) {
			other, known := f.vmsByAddress[target]
			if !known {
				continue
			}
			requestNodes, replyNodes := s.Rumors(), other.Rumors()
			other.Receive(f.now, s.Report(), requestNodes)
			s.Receive(f.now, other.Report(), replyNodes)
			if measure {
				f.countMessage(s, requestNodes)
				f.countMessage(other, replyNodes)
			}
		}
		s.View(f.now)
	}
}

func (f *vmFleet) countMessage(sender *membership.State, nodes []membership.Node) {
	f.messages++
	message := &peerpb.HeartbeatRequest{Sender: peer.EncodeNode(sender.Report()), Heard: peer.EncodeNodes(nodes)}
	f.bytes += int64(proto.Size(message)) + frameBytes
}

func measureMembership() []series {
	cpu := series{role: "entry: membership", name: "processor time", unit: "% of a core", sizeName: "VMs", target: targetVMs}
	sent := series{role: "entry: membership", name: "sent", unit: "KB/s", sizeName: "VMs", target: targetVMs}
	calls := series{role: "entry: membership", name: "messages sent", unit: "/s", sizeName: "VMs", target: targetVMs}
	memory := series{role: "entry: membership", name: "memory", unit: "MB", sizeName: "VMs", target: targetVMs}
	for _, n := range vmSizes {
		before := heapBytes()
		f := newVMFleet(n)
		for range settleSeconds {
			f.step(false)
		}
		memory.add(n, (heapBytes()-before)/float64(n)/megabyte)
		seconds := measureSeconds(func() {
			for range measuredSeconds {
				f.step(false)
			}
		})
		perVM := float64(n * measuredSeconds)
		cpu.add(n, seconds/perVM*percent)
		for range measuredSeconds {
			f.step(true)
		}
		sent.add(n, float64(f.bytes)/perVM/kilobyte)
		calls.add(n, float64(f.messages)/perVM)
	}
	return []series{cpu, sent, calls, memory}
}
