package vm

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// slowdownNoticeTimeout bounds a call that tells slowdowns. They are outdated soon, so that a failed call is not repeated.
	slowdownNoticeTimeout = 150 * time.Millisecond
	// slowdownNoticeInterval is the least time between two calls to a VM, for each partner: upstreams whose speed changes with every
	// answer must not cost a VM more than a hundred calls a second. Slowdowns that come up in between go into one call.
	slowdownNoticeInterval = 10 * time.Millisecond
	// maxSlowdownsPerNotice bounds the upstreams in a notice. The receiver learns of others by its own requests.
	maxSlowdownsPerNotice = 64
)

// slowdownNotices tells other VMs at once that an upstream has become slow, or as fast as usual again. Reports are too old for
// it: an upstream may be slow for a fraction of a second. Upstreams that run models are told in a small fleet only: in a large one
// they are many, and VMs have few requests at each.
type slowdownNotices struct {
	fleet  *fleet
	outbox *outbox[string]

	// partners is the number of VMs that are told.
	partners atomic.Int64

	mu sync.Mutex
	// calledAt is when a VM was last called, by address.
	calledAt map[string]time.Time
}

func newSlowdownNotices(f *fleet) *slowdownNotices {
	n := &slowdownNotices{fleet: f, calledAt: make(map[string]time.Time)}
	n.outbox = newOutbox(n.send)
	return n
}

// share tells the partners what this VM knows of an upstream.
func (n *slowdownNotices) share(instance string) { n.shareExcept(instance, "") }

// shareExcept tells all partners but one.
func (n *slowdownNotices) shareExcept(instance, address string) {
	if !n.worthTelling(instance) {
		return
	}
	partners := n.fleet.reportingPartners()
	n.partners.Store(int64(len(partners)))
	for _, partner := range partners {
		if partner != address {
			n.outbox.add(partner, instance)
		}
	}
}

func (n *slowdownNotices) worthTelling(instance string) bool {
	i := n.fleet.process.instance(instance)
	return i != nil && (len(i.Models) == 0 || n.fleet.isMesh())
}

// send tells a VM the latest that is known of some upstreams.
func (n *slowdownNotices) send(address string, batch []string) {
	n.pace(address)
	message := n.notice(batch)
	if len(message.Slowdowns) == 0 {
		return
	}
	n.fleet.process.incrementCounter("slowdown_notices.sent")
	_ = n.fleet.process.pool.Call(context.Background(), address, slowdownNoticeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewVMsClient(conn).ShareSlowdowns(ctx, message)
		return err
	})
}

// pace waits until a VM may be called again.
func (n *slowdownNotices) pace(address string) {
	interval := slowdownNoticeInterval * time.Duration(n.partners.Load())
	n.mu.Lock()
	wait := interval - time.Since(n.calledAt[address])
	if len(n.calledAt) > 2*maxPending {
		clear(n.calledAt)
	}
	n.calledAt[address] = time.Now().Add(max(0, wait))
	n.mu.Unlock()
	time.Sleep(wait)
}

func (n *slowdownNotices) notice(instances []string) *peerpb.SlowdownsNotice {
	slices.Sort(instances)
	instances = slices.Compact(instances)
	out := &peerpb.SlowdownsNotice{Vm: n.fleet.process.settings.VM}
	now := time.Now()
	for _, id := range instances[:min(len(instances), maxSlowdownsPerNotice)] {
		if known, ok := n.fleet.process.assigner.SlowdownOf(id); ok {
			out.Slowdowns = append(out.Slowdowns, slowdownToProto(known, now))
		}
	}
	return out
}

// merge records what another VM tells. A hub passes on what may change choices.
func (n *slowdownNotices) merge(in *peerpb.SlowdownsNotice) {
	now := time.Now()
	sender := ""
	for _, told := range in.Slowdowns[:min(len(in.Slowdowns), maxSlowdownsPerNotice)] {
		known := slowdownFromProto(told, now)
		before, decisive := n.fleet.process.assigner.MergeSlowdown(known)
		if !decisive {
			continue
		}
		n.fleet.process.incrementCounter("slowdown_notices.applied")
		n.fleet.process.log.Debug().Str("event", "upstream_slowdown").Str("instance", known.Upstream.Instance).Float64("slowdown", known.Slowdown).
			Float64("expected", before).Str("peer", in.Vm).Send()
		if n.fleet.isHub() {
			if sender == "" {
				sender = n.fleet.addressOf(in.Vm)
			}
			n.shareExcept(known.Upstream.Instance, sender)
		}
	}
}

// isMesh reports whether every VM exchanges reports with every other one.
func (f *fleet) isMesh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan != nil && f.plan.Mesh
}

// ShareSlowdowns implements peerpb.VMsServer.
func (s *vmServer) ShareSlowdowns(_ context.Context, in *peerpb.SlowdownsNotice) (*peerpb.SlowdownsReceipt, error) {
	s.process.fleet.slowdowns.merge(in)
	return &peerpb.SlowdownsReceipt{}, nil
}

func slowdownToProto(s assign.ReportedSlowdown, now time.Time) *peerpb.UpstreamSlowdown {
	return &peerpb.UpstreamSlowdown{
		Instance: s.Upstream.Instance, Incarnation: s.Upstream.Incarnation, Percent: uint32(100*s.Slowdown + 0.5),
		AgoMs: uint32(max(0, now.Sub(s.At).Milliseconds())),
	}
}

func slowdownFromProto(in *peerpb.UpstreamSlowdown, now time.Time) assign.ReportedSlowdown {
	return assign.ReportedSlowdown{
		Upstream: upstreamrate.Key{Instance: in.GetInstance(), Incarnation: in.GetIncarnation()},
		Slowdown: float64(in.GetPercent()) / 100, At: now.Add(-time.Duration(in.GetAgoMs()) * time.Millisecond),
	}
}
