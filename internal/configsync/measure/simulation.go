package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/fleet"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// Parameters of the simulation.
const (
	// step is the time step of the simulation: about the latency of a message
	// between failure domains, including processing at both ends.
	step = 10 * time.Millisecond
	// failureDomains and watchersPerDomain are those that the entry process uses.
	failureDomains    = 38
	watchersPerDomain = 2
	// warmup is the time for the VMs to discover each other before the
	// measurement.
	warmup = 30 * time.Second
	// changeInterval is the time between two changes: 13000 changes a day.
	changeInterval = 6650 * time.Millisecond
)

// node is one VM of the simulation: its membership and its configuration.
type node struct {
	members       *membership.State
	syncer        *configsync.Syncer
	nextHeartbeat time.Time
	watches       bool
	inForce       int64
}

// simulation steps the state machines of many VMs. A message between them takes one
// step; watches deliver one step after a change.
type simulation struct {
	random         *rand.Rand
	nodes          []*node
	byPeer         map[string]*node
	byVM           map[string]*node
	now            time.Time
	propagation    *hdrhistogram.Histogram
	changedAt      time.Time
	heartbeatBytes int64
	updateBytes    int64
	counts         map[string]int64
}

// runSimulation measures how a change spreads between peers when only a few VMs of
// each failure domain watch the service, and how many bytes the messages need.
func runSimulation(ctx context.Context, o options) error {
	s := &simulation{
		random:      rand.New(rand.NewPCG(1, 2)),
		byPeer:      make(map[string]*node),
		byVM:        make(map[string]*node),
		now:         time.Unix(0, 0),
		propagation: newHistogram(),
		counts:      make(map[string]int64),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.build(ctx, o.vms)
	store := kvtest.NewMemory(nil)
	writer := &configsync.Writer{Store: store, Environment: environment}
	accepted, err := writer.Apply(ctx, configsync.Change{ID: "0"}, 0, document(o.keys, 1))
	if err != nil {
		return err
	}
	if err := s.deliver(ctx, accepted.Envelope, s.nodes); err != nil {
		return err
	}
	if err := s.advance(ctx, warmup); err != nil {
		return err
	}
	s.propagation.Reset()
	s.heartbeatBytes, s.updateBytes, s.counts = 0, 0, make(map[string]int64)
	for i := range o.changes {
		accepted, err = s.change(ctx, writer, accepted.Envelope.Version, o.keys, i)
		if err != nil {
			return err
		}
		if err := s.advance(ctx, changeInterval); err != nil {
			return err
		}
	}
	s.print(o)
	return nil
}

func (s *simulation) change(ctx context.Context, w *configsync.Writer, version int64, keys, i int) (*configsync.Accepted, error) {
	change := configsync.Change{ID: fmt.Sprint("change-", i)}
	var accepted *configsync.Accepted
	var err error
	if i%2 == 0 {
		accepted, err = w.Apply(ctx, change, version, document(keys, i+2))
	} else {
		accepted, err = w.Withdraw(ctx, change, []string{configstate.DigestKey(change.ID)})
	}
	if err != nil {
		return nil, err
	}
	s.changedAt = s.now
	s.now = s.now.Add(step)
	var watchers []*node
	for _, n := range s.nodes {
		if n.watches {
			watchers = append(watchers, n)
		}
	}
	s.counts["watch events"] += int64(len(watchers))
	return accepted, s.deliver(ctx, accepted.Envelope, watchers)
}

// newUnreachableStore returns a service that the syncers of the simulation cannot
// reach: the simulation itself delivers what watches would deliver.
func newUnreachableStore() *kvtest.Memory {
	m := kvtest.NewMemory(nil)
	m.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	return m
}

func (s *simulation) build(ctx context.Context, vms int) {
	store := newUnreachableStore()
	const first = "vm-000:1"
	for i := range vms {
		self := membership.Node{
			VM:            fmt.Sprintf("vm-%03d", i),
			Incarnation:   1,
			FailureDomain: fmt.Sprint("domain-", i%failureDomains),
			CallerURL:     fmt.Sprintf("https://10.0.%d.%d:8443", i/250, i%250),
			PeerAddress:   fmt.Sprintf("vm-%03d:1", i),
			Ready:         true,
		}
		n := &node{
			members:       membership.New(membership.Config{}, self),
			syncer:        configsync.NewSyncer(configsync.Options{Store: store, Environment: environment, PollInterval: time.Hour, MaxBackoff: time.Hour}),
			nextHeartbeat: s.now.Add(time.Duration(s.random.Int64N(int64(fleet.DefaultPeriod)))),
			watches:       i/failureDomains < watchersPerDomain,
		}
		n.members.SetSeeds([]string{first, fmt.Sprintf("vm-%03d:1", (i+1)%vms)})
		go n.syncer.Run(ctx)
		s.nodes = append(s.nodes, n)
		s.byPeer[self.PeerAddress], s.byVM[self.VM] = n, n
	}
}

func (s *simulation) deliver(ctx context.Context, e *configstate.Envelope, to []*node) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	for _, n := range to {
		if err := s.offer(ctx, n, data); err != nil {
			return err
		}
	}
	return nil
}

// offer passes an update to a node and records the time since the change.
func (s *simulation) offer(ctx context.Context, n *node, update []byte) error {
	s.updateBytes += int64(len(update))
	if err := n.syncer.Offer(ctx, update); err != nil {
		return err
	}
	version := n.syncer.Version()
	n.members.UpdateSelf(func(self *membership.Node) { self.ConfigVersion = version })
	if version > n.inForce && !s.changedAt.IsZero() {
		if err := s.propagation.RecordValue(s.now.Sub(s.changedAt).Microseconds()); err != nil {
			return errors.Wrap(err, "histogram")
		}
	}
	n.inForce = version
	return nil
}

// advance runs the heartbeats of all nodes for a duration.
func (s *simulation) advance(ctx context.Context, length time.Duration) error {
	end := s.now.Add(length)
	for ; s.now.Before(end); s.now = s.now.Add(step) {
		for _, n := range s.nodes {
			if n.nextHeartbeat.After(s.now) {
				continue
			}
			n.nextHeartbeat = n.nextHeartbeat.Add(fleet.DefaultPeriod)
			if err := s.runPeriod(ctx, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// runPeriod runs one period of a node: heartbeats, then a pull from a VM that
// reports a newer version.
func (s *simulation) runPeriod(ctx context.Context, n *node) error {
	n.members.Tick(s.now)
	for _, address := range n.members.Targets(s.now) {
		to, known := s.byPeer[address]
		if !known || to == n {
			continue
		}
		s.heartbeat(n, to)
	}
	version, vm := n.members.View(s.now).NewestConfigVersion()
	if vm == "" || version <= n.syncer.Version() {
		return nil
	}
	_, update := s.byVM[vm].syncer.UpdateSince(n.syncer.Version())
	s.counts["pulls"]++
	return s.offer(ctx, n, update)
}

func (s *simulation) heartbeat(from, to *node) {
	heard := from.members.Rumors()
	to.members.Receive(s.now, from.members.Self(), heard)
	answer := to.members.Rumors()
	from.members.Receive(s.now, to.members.Self(), answer)
	request := &peerpb.HeartbeatRequest{Sender: peer.EncodeNode(from.members.Self()), Heard: peer.EncodeNodes(heard)}
	response := &peerpb.HeartbeatResponse{Receiver: peer.EncodeNode(to.members.Self()), Heard: peer.EncodeNodes(answer)}
	s.heartbeatBytes += int64(proto.Size(request) + proto.Size(response))
	s.counts["heartbeats"]++
}

func (s *simulation) print(o options) {
	seconds := float64(o.changes) * changeInterval.Seconds()
	perVM := 1 / seconds / float64(o.vms)
	watchers := 0
	for _, n := range s.nodes {
		if n.watches {
			watchers++
		}
	}
	fmt.Printf("simulation: %d VMs, %d of them watch, document %d bytes, %.2f changes/s\n", o.vms, watchers, len(document(o.keys, 1)), float64(o.changes)/seconds)
	printRow("change in force at a VM", s.propagation)
	fmt.Printf("per VM, without headers: %.2f heartbeats/s sent or answered, %.2f KB/s in and out; %.3f pulls/s; configuration %.3f KB/s in\n",
		2*float64(s.counts["heartbeats"])*perVM, 2*float64(s.heartbeatBytes)*perVM/1000, float64(s.counts["pulls"])*perVM, float64(s.updateBytes)*perVM/1000)
}
