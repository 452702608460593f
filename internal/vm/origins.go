package vm

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/origins"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// This file has VMs remember for each other which software version began a stream: the VM that began it may be gone when
// its caller resumes it elsewhere. In a large fleet only hubs do so, and VMs that follow a hub tell and ask it, over the
// connections that they have anyway.

const (
	// originKeepers is the number of VMs that remember a stream beside the one that began it, askedKeepers that of those that
	// are asked: VMs may disagree about the fleet for some seconds.
	originKeepers = 3
	askedKeepers  = 6
	// originNoticeTimeout bounds a call that tells origins. originQueryTimeout bounds a question to one VM, a hub's included
	// that asks others; a caller waits for it.
	originNoticeTimeout = 700 * time.Millisecond
	originQueryTimeout  = 250 * time.Millisecond
	keeperQueryTimeout  = 150 * time.Millisecond
	// versionNewsTimeout bounds the wait for what the store has now: a pause of a hub, a watch that waits, and the way here.
	versionNewsTimeout = 1500 * time.Millisecond
)

// originNotices tells other VMs which version began streams.
type originNotices struct {
	fleet  *fleet
	outbox *outbox[origins.Origin]
}

func newOriginNotices(f *fleet) *originNotices {
	n := &originNotices{fleet: f}
	n.outbox = newOutbox(n.send)
	return n
}

// share has other VMs remember an origin that this VM has recorded.
func (n *originNotices) share(o origins.Origin) {
	if hubs := n.fleet.followedHubs(); len(hubs) > 0 {
		n.outbox.add(hubs[0], o)
		return
	}
	for _, address := range n.fleet.keepersOf(o.Stream, originKeepers) {
		n.outbox.add(address, o)
	}
}

// send tells a VM of origins, or another hub if it does not answer. The other keepers of a stream make up for one.
func (n *originNotices) send(address string, batch []origins.Origin) {
	if n.call(address, batch) == nil {
		return
	}
	for _, hub := range n.fleet.followedHubs() {
		if hub != address && n.call(hub, batch) == nil {
			return
		}
	}
}

func (n *originNotices) call(address string, batch []origins.Origin) error {
	message := &peerpb.OriginsNotice{Relay: len(n.fleet.followedHubs()) > 0}
	now := time.Now()
	for _, o := range batch {
		message.Origins = append(message.Origins, originToProto(o, now))
	}
	return n.fleet.process.pool.Call(context.Background(), address, originNoticeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewVMsClient(conn).ShareOrigins(ctx, message)
		return err
	})
}

// ShareOrigins implements peerpb.VMsServer.
func (s *vmServer) ShareOrigins(_ context.Context, in *peerpb.OriginsNotice) (*peerpb.OriginsReceipt, error) {
	now := time.Now()
	for _, told := range in.Origins {
		o := originFromProto(told, now)
		// Two VMs that each take the other for their hub would relay an origin for ever.
		if s.process.origins.Record(o, now) && in.Relay {
			s.process.fleet.origins.share(o)
		}
	}
	return &peerpb.OriginsReceipt{}, nil
}

// askOrigin asks other VMs which version began a stream. It returns false if none of those that answer in time knows.
func (f *fleet) askOrigin(ctx context.Context, s origins.Stream) (origins.Origin, bool) {
	hubs := f.followedHubs()
	if len(hubs) == 0 {
		return f.askKeepers(ctx, s)
	}
	own, _ := f.process.origins.Find(s, time.Now())
	for _, hub := range hubs {
		if told, err := f.queryOrigin(ctx, hub, s, originQueryTimeout, true); err == nil {
			merged := own.Merge(told)
			return merged, merged.Known()
		}
	}
	if !s.SettledBy(own) {
		return origins.Origin{}, false
	}
	return own, true
}

// askKeepers asks the VMs that remember a stream, all at once.
func (f *fleet) askKeepers(ctx context.Context, s origins.Stream) (origins.Origin, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := f.keepersOf(s, askedKeepers)
	replies := make(chan origins.Reply, len(keepers))
	for n, address := range keepers {
		go func() {
			o, err := f.queryOrigin(ctx, address, s, keeperQueryTimeout, false)
			replies <- origins.Reply{Origin: o, Answered: err == nil, Keeper: n < originKeepers}
		}()
	}
	own, _ := f.process.origins.Find(s, time.Now())
	o := origins.Gather(s, own, replies, len(keepers))
	return o, o.Known()
}

// queryOrigin asks one VM which version began a stream. The origin is empty if that VM does not know.
func (f *fleet) queryOrigin(ctx context.Context, address string, s origins.Stream, timeout time.Duration, relay bool) (origins.Origin, error) {
	var answer *peerpb.OriginAnswer
	err := f.process.pool.Call(ctx, address, timeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).FindOrigin(ctx, &peerpb.OriginQuery{Stream: uint64(s), Relay: relay})
		return err
	})
	if err != nil || answer.Origin == nil {
		return origins.Origin{}, err
	}
	return originFromProto(answer.Origin, time.Now()), nil
}

// FindOrigin implements peerpb.VMsServer.
func (s *vmServer) FindOrigin(ctx context.Context, in *peerpb.OriginQuery) (*peerpb.OriginAnswer, error) {
	var o origins.Origin
	if in.Relay {
		o, _ = s.process.fleet.askKeepers(ctx, origins.Stream(in.Stream))
	} else {
		o, _ = s.process.origins.Find(origins.Stream(in.Stream), time.Now())
	}
	if !o.Known() {
		return &peerpb.OriginAnswer{}, nil
	}
	return &peerpb.OriginAnswer{Origin: originToProto(o, time.Now())}, nil
}

// followedHubs returns the addresses of the hub that this VM follows and of those that it may follow instead, none if it
// is a hub or the fleet has none.
func (f *fleet) followedHubs() []string {
	if f.eligibleToLead() {
		return nil
	}
	return f.hubs()
}

// keepersOf returns the addresses of the VMs that remember a stream, n of them at most, without this one: the hubs, or all
// VMs of a fleet without hubs.
func (f *fleet) keepersOf(s origins.Stream, n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		return nil
	}
	var candidates []origins.VM
	if hubs := f.plan.Hubs(); len(hubs) > 0 {
		for _, hub := range hubs {
			if m := f.members[hub]; m != nil {
				candidates = append(candidates, origins.VM{Name: hub, Domain: m.Domain})
			}
		}
	} else {
		for vm, m := range f.members {
			candidates = append(candidates, origins.VM{Name: vm, Domain: m.Domain})
		}
	}
	var out []string
	for _, vm := range origins.Keepers(s, candidates, n) {
		out = append(out, f.members[vm].Peers)
	}
	return out
}

// onlyVersion returns the software version of a service's upstreams if no other has served there for longer than callers
// wait for a stream, up to now: a stream that has broken may have begun at a version that joined a moment ago.
func (p *Process) onlyVersion(ctx context.Context, service string) (string, bool) {
	now := time.Now()
	if _, alone := p.servedAlone(service); !alone {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, versionNewsTimeout)
	defer cancel()
	if !p.tracker.fresh.await(ctx, now) {
		return "", false
	}
	return p.servedAlone(service)
}

// servedAlone returns the software version of a service's upstreams if, as far as this VM knows, no other has served there
// for longer than callers wait for a stream.
func (p *Process) servedAlone(service string) (string, bool) {
	version, known := "", false
	for _, i := range *p.instances.Load() {
		if i.Service != service {
			continue
		}
		if known && i.SoftwareVersion != version {
			return "", false
		}
		version, known = i.SoftwareVersion, true
	}
	return version, p.versions.ServedAlone(service, version, time.Now())
}

func originToProto(o origins.Origin, now time.Time) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{Stream: uint64(o.Stream), Service: o.Service, Version: o.Version, AgoMs: now.Sub(o.BegunAt).Milliseconds(), Ambiguous: o.Ambiguous}
}

func originFromProto(in *peerpb.StreamOrigin, now time.Time) origins.Origin {
	return origins.Origin{
		Stream: origins.Stream(in.GetStream()), Service: in.GetService(), Version: in.GetVersion(), Ambiguous: in.GetAmbiguous(), BegunAt: now.Add(-time.Duration(in.GetAgoMs()) * time.Millisecond),
	}
}
