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

// Parts of the plain loop.
const (
	// step is the loop's unit of time, about a message's way between failure
	// domains with what the processes add.
	step = 10 * time.Millisecond
	// failureDomains and watchersPerDomain are as the entry process chooses.
	failureDomains    = 38
	watchersPerDomain = 2
	// settleFor lets the VMs find each other before anything is measured.
	settleFor = 30 * time.Second
	// changeEvery is the time between two changes: 13000 a day.
	changeEvery = 6650 * time.Millisecond
)

// node is one VM of the plain loop: its membership and its configuration.
type node struct {
	members *membership.State
	keeper  *configsync.Keeper
	next    time.Time
	watches bool
	inForce int64
}

// loop steps many state machines. Messages between them take one step; watches
// deliver one step after a change.
type loop struct {
	random  *rand.Rand
	nodes   []*node
	byPeer  map[string]*node
	byVM    map[string]*node
	now     time.Time
	spread  *hdrhistogram.Histogram
	changed time.Time
	beats   int64
	updates int64
	count   map[string]int64
}

// runLoop measures how a change spreads over peers when only a few VMs of each
// failure domain watch the service, and what the messages cost.
func runLoop(ctx context.Context, o options) error {
	l := &loop{
		random: rand.New(rand.NewPCG(1, 2)),
		byPeer: make(map[string]*node),
		byVM:   make(map[string]*node),
		now:    time.Unix(0, 0),
		spread: newHistogram(),
		count:  make(map[string]int64),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.build(ctx, o.vms)
	store := kvtest.NewMemory(nil)
	writer := &configsync.Writer{Store: store, Environment: environment}
	accepted, err := writer.Apply(ctx, configsync.Change{ID: "0"}, 0, document(o.keys, 1))
	if err != nil {
		return err
	}
	if err := l.deliver(ctx, accepted.Envelope, l.nodes); err != nil {
		return err
	}
	if err := l.advance(ctx, settleFor); err != nil {
		return err
	}
	l.spread.Reset()
	l.beats, l.updates, l.count = 0, 0, make(map[string]int64)
	for i := range o.changes {
		accepted, err = l.change(ctx, writer, accepted.Envelope.Version, o.keys, i)
		if err != nil {
			return err
		}
		if err := l.advance(ctx, changeEvery); err != nil {
			return err
		}
	}
	l.print(o)
	return nil
}

func (l *loop) change(ctx context.Context, w *configsync.Writer, version int64, keys, i int) (*configsync.Accepted, error) {
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
	l.changed = l.now
	l.now = l.now.Add(step)
	var watchers []*node
	for _, n := range l.nodes {
		if n.watches {
			watchers = append(watchers, n)
		}
	}
	l.count["watch events"] += int64(len(watchers))
	return accepted, l.deliver(ctx, accepted.Envelope, watchers)
}

// unreachable is a service that the loop's keepers cannot reach: the loop itself
// delivers what watchers would receive.
func unreachable() *kvtest.Memory {
	m := kvtest.NewMemory(nil)
	m.Change(func(f *kvtest.Faults) { f.Outage = true })
	return m
}

func (l *loop) build(ctx context.Context, vms int) {
	store := unreachable()
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
			members: membership.New(membership.Config{}, self),
			keeper:  configsync.NewKeeper(configsync.Options{Store: store, Environment: environment, PollInterval: time.Hour, MaxBackoff: time.Hour}),
			next:    l.now.Add(time.Duration(l.random.Int64N(int64(fleet.DefaultPeriod)))),
			watches: i/failureDomains < watchersPerDomain,
		}
		n.members.SetSeeds([]string{first, fmt.Sprintf("vm-%03d:1", (i+1)%vms)})
		go n.keeper.Run(ctx)
		l.nodes = append(l.nodes, n)
		l.byPeer[self.PeerAddress], l.byVM[self.VM] = n, n
	}
}

func (l *loop) deliver(ctx context.Context, e *configstate.Envelope, to []*node) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	for _, n := range to {
		if err := l.offer(ctx, n, data); err != nil {
			return err
		}
	}
	return nil
}

// offer gives a node an update and notes how long after the change it came.
func (l *loop) offer(ctx context.Context, n *node, update []byte) error {
	l.updates += int64(len(update))
	if err := n.keeper.Offer(ctx, update); err != nil {
		return err
	}
	version := n.keeper.Version()
	n.members.UpdateSelf(func(self *membership.Node) { self.ConfigVersion = version })
	if version > n.inForce && !l.changed.IsZero() {
		if err := l.spread.RecordValue(l.now.Sub(l.changed).Microseconds()); err != nil {
			return errors.Wrap(err, "histogram")
		}
	}
	n.inForce = version
	return nil
}

// advance runs the heartbeats of all nodes for a time.
func (l *loop) advance(ctx context.Context, length time.Duration) error {
	end := l.now.Add(length)
	for ; l.now.Before(end); l.now = l.now.Add(step) {
		for _, n := range l.nodes {
			if n.next.After(l.now) {
				continue
			}
			n.next = n.next.Add(fleet.DefaultPeriod)
			if err := l.round(ctx, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// round is what the fleet does in each period: heartbeats, then a pull from a
// VM that reports a newer version.
func (l *loop) round(ctx context.Context, n *node) error {
	n.members.Tick(l.now)
	for _, address := range n.members.Targets(l.now) {
		to, known := l.byPeer[address]
		if !known || to == n {
			continue
		}
		l.heartbeat(n, to)
	}
	version, vm := n.members.View(l.now).NewestConfigVersion()
	if vm == "" || version <= n.keeper.Version() {
		return nil
	}
	_, update := l.byVM[vm].keeper.UpdateSince(n.keeper.Version())
	l.count["pulls"]++
	return l.offer(ctx, n, update)
}

func (l *loop) heartbeat(from, to *node) {
	heard := from.members.Rumors()
	to.members.Receive(l.now, from.members.Self(), heard)
	answer := to.members.Rumors()
	from.members.Receive(l.now, to.members.Self(), answer)
	request := &peerpb.HeartbeatRequest{Sender: peer.EncodeNode(from.members.Self()), Heard: peer.EncodeNodes(heard)}
	response := &peerpb.HeartbeatResponse{Receiver: peer.EncodeNode(to.members.Self()), Heard: peer.EncodeNodes(answer)}
	l.beats += int64(proto.Size(request) + proto.Size(response))
	l.count["heartbeats"]++
}

func (l *loop) print(o options) {
	seconds := float64(o.changes) * changeEvery.Seconds()
	perVM := 1 / seconds / float64(o.vms)
	watchers := 0
	for _, n := range l.nodes {
		if n.watches {
			watchers++
		}
	}
	fmt.Printf("plain loop: %d VMs, %d of them watch, document %d bytes, %.2f changes/s\n", o.vms, watchers, len(document(o.keys, 1)), float64(o.changes)/seconds)
	printRow("change in force at a VM", l.spread)
	fmt.Printf("per VM, without headers: %.2f heartbeats/s sent or answered, %.2f KB/s in and out; %.3f pulls/s; configuration %.3f KB/s in\n",
		2*float64(l.count["heartbeats"])*perVM, 2*float64(l.beats)*perVM/1000, float64(l.count["pulls"])*perVM, float64(l.updates)*perVM/1000)
}
