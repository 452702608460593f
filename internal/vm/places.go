package vm

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/concurrency"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// placePollInterval is how often a request that waits for a permit looks whether time alone has made room.
	placePollInterval = 20 * time.Millisecond
	// placeTimeout bounds a call about permits of brittle upstreams, beyond the wait that it asks for. A few calls in a row
	// that time out close their connection, with all requests that wait over it for a permit.
	placeTimeout = 400 * time.Millisecond
	// maxReleaseCalls is how often the issuer is told of permits that are used no more, if it does not answer, and
	// releaseRetryPause the time between two calls. Permits expire besides.
	maxReleaseCalls   = 4
	releaseRetryPause = 100 * time.Millisecond
	// placeExpiryInterval is how often permits of processes that are gone are looked for.
	placeExpiryInterval = time.Second
)

// places issues the permits of brittle upstreams, of which each is given back when its request has ended.
type places struct {
	fleet *fleet
	// released holds the permits that are to be given back to other VMs.
	released *outbox[*peerpb.ReleasedPermit]

	mu sync.Mutex
	// limiters holds the upstreams whose permits this VM issues.
	limiters map[upstreamrate.Key]*concurrency.Limiter
	// waiting holds the asks of this VM's limiters that wait. Their channels are closed when they are granted.
	waiting map[concurrency.Permit]chan struct{}
	// issuers holds the addresses of the VMs that have issued this VM's permits, "" for itself: VMs may disagree for a while
	// about which one issues those of an upstream.
	issuers map[uint64]string
}

func newPlaces(f *fleet) *places {
	p := &places{
		fleet: f, limiters: make(map[upstreamrate.Key]*concurrency.Limiter), waiting: make(map[concurrency.Permit]chan struct{}),
		issuers: make(map[uint64]string),
	}
	p.released = newOutbox(p.callRelease)
	return p
}

// run forgets the permits of processes that are gone, until ctx ends.
func (p *places) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.expire()
		sleep(ctx, placeExpiryInterval)
	}
	return nil
}

// request asks the VM that issues the permits of a brittle upstream for one.
func (p *places) request(ctx context.Context, q traffic.PlaceRequest) upstreamrate.Decision {
	issuer, address := p.fleet.permitIssuer(q.Upstream.Instance)
	ask := concurrency.Ask{Permit: p.ownPermit(q.Permit), MaxWait: q.MaxWait, TimeLeft: q.TimeLeft}
	p.setIssuer(q.Permit, address)
	if issuer == p.fleet.process.settings.VM {
		return p.settle(q, p.issue(ctx, q.Upstream, q.Needed, ask))
	}
	limit, _ := p.fleet.process.assigner.RateLimit(q.Upstream)
	decision, err := p.fleet.callPermit(ctx, address, placeTimeout+q.MaxWait, &peerpb.PermitRequest{
		Limit: rateLimitToProto(upstreamrate.Entry{Key: q.Upstream, Limit: limit}), Needed: q.Needed, Vm: ask.Permit.VM, Incarnation: ask.Permit.Incarnation,
		Permit: q.Permit, MaxWaitMs: uint32(q.MaxWait.Milliseconds()), TimeLeftMs: uint32(max(0, q.TimeLeft.Milliseconds())),
	}, issuer)
	if err != nil {
		// The permit may have been granted.
		p.release(q.Upstream, q.Permit, false)
	}
	return p.settle(q, decision)
}

// settle forgets who was asked for a permit that was not granted.
func (p *places) settle(q traffic.PlaceRequest, d upstreamrate.Decision) upstreamrate.Decision {
	if !d.Granted {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.issuers, q.Permit)
	}
	return d
}

func (p *places) setIssuer(number uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuers[number] = address
}

func (p *places) ownPermit(number uint64) concurrency.Permit {
	return concurrency.Permit{VM: p.fleet.process.settings.VM, Incarnation: p.fleet.incarnation, Number: number}
}

func askFromProto(in *peerpb.PermitRequest) concurrency.Ask {
	return concurrency.Ask{
		Permit:  concurrency.Permit{VM: in.Vm, Incarnation: in.Incarnation, Number: in.Permit},
		MaxWait: time.Duration(in.MaxWaitMs) * time.Millisecond, TimeLeft: time.Duration(in.TimeLeftMs) * time.Millisecond,
	}
}

// issue decides about a permit on the VM that issues it. Permits without a number need not be given back.
func (p *places) issue(ctx context.Context, k upstreamrate.Key, needed bool, a concurrency.Ask) upstreamrate.Decision {
	now, assigner := time.Now(), p.fleet.process.assigner
	if d := assigner.IssuePermit(k, needed, now); !d.Granted || a.Permit.Number == 0 {
		return d
	}
	u, ok := assigner.Concurrency(k, now)
	if !ok {
		return upstreamrate.Decision{RetryAfter: permitRetry}
	}
	outcome, retryAfter, granted := p.take(k, a, u, now)
	if outcome == concurrency.Waiting {
		return p.await(ctx, k, a, granted)
	}
	return upstreamrate.Decision{Granted: outcome == concurrency.Granted, RetryAfter: retryAfter}
}

func (p *places) take(k upstreamrate.Key, a concurrency.Ask, u concurrency.Upstream, now time.Time) (concurrency.Outcome, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiters[k]
	if l == nil {
		l = concurrency.NewLimiter()
		p.limiters[k] = l
	}
	outcome, retryAfter := l.Take(a, u, now)
	if outcome != concurrency.Waiting {
		return outcome, retryAfter, nil
	}
	granted := make(chan struct{})
	p.waiting[a.Permit] = granted
	return outcome, 0, granted
}

// await waits until an ask is granted, for as long as it can wait.
func (p *places) await(ctx context.Context, k upstreamrate.Key, a concurrency.Ask, granted <-chan struct{}) upstreamrate.Decision {
	timer, ticker := time.NewTimer(a.MaxWait), time.NewTicker(placePollInterval)
	defer timer.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return upstreamrate.Decision{Granted: true}
		case <-ticker.C:
			p.advance(k)
		case <-timer.C:
			return p.cancel(k, a)
		case <-ctx.Done():
			return p.cancel(k, a)
		}
	}
}

// cancel ends the wait of an ask, unless it was granted meanwhile.
func (p *places) cancel(k upstreamrate.Key, a concurrency.Ask) upstreamrate.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, a.Permit)
	l := p.limiters[k]
	if l == nil || l.Cancel(a.Permit) || !l.Holds(a.Permit) {
		return upstreamrate.Decision{RetryAfter: permitTimeout}
	}
	return upstreamrate.Decision{Granted: true}
}

func (p *places) advance(k upstreamrate.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.limiters[k]; l != nil {
		p.wake(l.Advance(time.Now()))
	}
}

// wake tells asks that they are granted. It must be called with the lock held.
func (p *places) wake(granted []concurrency.Permit) {
	for _, permit := range granted {
		if ch := p.waiting[permit]; ch != nil {
			close(ch)
			delete(p.waiting, permit)
		}
	}
}

// release gives a permit of this VM back to the VM that has issued it.
func (p *places) release(k upstreamrate.Key, number uint64, rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.issuers[number]
	delete(p.issuers, number)
	if address == "" {
		p.end(k, p.ownPermit(number), rejected)
		return
	}
	p.released.add(address, &peerpb.ReleasedPermit{Instance: k.Instance, InstanceIncarnation: k.Incarnation, Permit: number, Rejected: rejected})
}

// callRelease gives permits back to the VM that has issued them.
func (p *places) callRelease(address string, batch []*peerpb.ReleasedPermit) {
	message := &peerpb.PermitsNotice{Vm: p.fleet.process.settings.VM, Incarnation: p.fleet.incarnation, Permits: batch}
	for call := range maxReleaseCalls {
		if call > 0 {
			time.Sleep(releaseRetryPause)
		}
		err := p.fleet.process.pool.Call(context.Background(), address, placeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
			_, err := peerpb.NewVMsClient(conn).ReleasePermits(ctx, message)
			return err
		})
		if err == nil {
			return
		}
	}
}

// ReleasePermits implements peerpb.VMsServer.
func (s *vmServer) ReleasePermits(_ context.Context, in *peerpb.PermitsNotice) (*peerpb.PermitsReceipt, error) {
	for _, r := range in.Permits {
		k := upstreamrate.Key{Instance: r.GetInstance(), Incarnation: r.GetInstanceIncarnation()}
		s.process.fleet.places.endOfPeer(k, concurrency.Permit{VM: in.Vm, Incarnation: in.Incarnation, Number: r.GetPermit()}, r.GetRejected())
	}
	return &peerpb.PermitsReceipt{}, nil
}

func (p *places) endOfPeer(k upstreamrate.Key, permit concurrency.Permit, rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(k, permit, rejected)
}

// end records that a request has ended at an upstream whose permits this VM issues. It must be called with the lock held.
func (p *places) end(k upstreamrate.Key, permit concurrency.Permit, rejected bool) {
	l := p.limiters[k]
	if l == nil {
		return
	}
	p.wake(l.Release(permit, rejected, time.Now()))
	if rejected {
		p.noteRejection(k.Instance, permit.VM, l.InFlight())
	}
}

func (p *places) noteRejection(instance, peer string, inFlight int) {
	service := ""
	if i := p.fleet.process.instance(instance); i != nil {
		service = i.Service
	}
	p.fleet.process.incrementCounter("upstreams.brittle_rejections." + service)
	p.fleet.process.log.Info().Str("event", "brittle_rejection").Str("instance", instance).Str("service", service).Str("peer", peer).
		Int("in_flight", inFlight).Send()
}

// expire forgets the permits of processes that are gone, and the upstreams that are.
func (p *places) expire() {
	now, runs := time.Now(), p.fleet.runningProcesses()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, l := range p.limiters {
		l.Retain(func(vm string, incarnation int64) bool { return runs[vm] == incarnation })
		if _, known := p.fleet.process.assigner.Concurrency(k, now); !known {
			delete(p.limiters, k)
		}
	}
}

// runningProcesses returns the incarnations of all VMs that are known.
func (f *fleet) runningProcesses() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{f.process.settings.VM: f.incarnation}
	for vm, m := range f.members {
		out[vm] = m.Incarnation
	}
	return out
}
