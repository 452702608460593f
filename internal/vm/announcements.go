package vm

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

const (
	// announcementInterval is the least time between two calls to a VM, lengthened by announcementIntervalPerPartner for each
	// partner so that a hub's processor bears it. It is a fraction of the time in which an engine prefills a long prompt.
	announcementInterval           = 40 * time.Millisecond
	announcementIntervalPerPartner = time.Millisecond
	// announcementTimeout bounds a call. An announcement that comes later is outdated.
	announcementTimeout = 150 * time.Millisecond
	// maxAnnounced bounds the requests in a call.
	maxAnnounced = 256
	// maxAnnouncedAge is the age from which a request is not passed on: its prompt is prefilled.
	maxAnnouncedAge = time.Second
)

// announcements tells the other VMs of a fleet with hubs which requests with long prompts were just sent to engines. Reports pass
// two hubs, and by the time that they arrive the prompts that they name are prefilled and others have come. In a small fleet
// dispatchNotifier tells of every request.
type announcements struct {
	fleet *fleet
	// queue holds requests of this VM. Those dropped beyond its size are covered by the next report.
	queue  chan assign.Dispatch
	outbox *outbox[assign.Dispatch]
}

func newAnnouncements(f *fleet) *announcements {
	a := &announcements{fleet: f, queue: make(chan assign.Dispatch, dispatchQueueSize)}
	a.outbox = newOutbox(a.send)
	return a
}

// announce queues a request of this VM. It never blocks.
func (a *announcements) announce(d assign.Dispatch) {
	select {
	case a.queue <- d:
	default:
	}
}

// run tells the partners of queued requests until ctx ends.
func (a *announcements) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-a.queue:
			if a.fleet.isMesh() {
				continue
			}
			for _, address := range a.fleet.reportingPartners() {
				a.outbox.add(address, d)
			}
		}
	}
}

// send tells a VM of some requests, then waits until it may be called again: further ones go into the next call.
func (a *announcements) send(address string, batch []assign.Dispatch) {
	now := time.Now()
	message := &peerpb.Announcement{Vm: a.fleet.process.settings.VM}
	for _, d := range batch[max(0, len(batch)-maxAnnounced):] {
		if age := now.Sub(d.At); age < maxAnnouncedAge {
			message.Dispatches = append(message.Dispatches, &peerpb.Dispatch{
				Instance: d.Instance, Model: d.Model, Tokens: uint32(d.Tokens), AgoMs: uint32(max(0, age.Milliseconds())),
			})
		}
	}
	if len(message.Dispatches) == 0 {
		return
	}
	a.fleet.process.incrementCounter("announcements.sent")
	_ = a.fleet.process.pool.Call(context.Background(), address, announcementTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := peerpb.NewVMsClient(conn).Announce(ctx, message)
		return err
	})
	time.Sleep(time.Until(now.Add(a.interval())))
}

// interval returns the least time between two calls to a VM.
func (a *announcements) interval() time.Duration {
	partners := len(a.fleet.reportingPartners())
	return max(announcementInterval, time.Duration(partners)*announcementIntervalPerPartner)
}

// receive records what another VM tells. A hub passes it on.
func (a *announcements) receive(in *peerpb.Announcement) {
	now := time.Now()
	targets := a.fleet.relayTargets(in.Vm)
	for _, told := range in.Dispatches[:min(len(in.Dispatches), maxAnnounced)] {
		age := time.Duration(told.GetAgoMs()) * time.Millisecond
		if age > maxAnnouncedAge {
			continue
		}
		d := assign.Dispatch{Instance: told.GetInstance(), Model: told.GetModel(), Tokens: int(told.GetTokens()), At: now.Add(-age)}
		a.fleet.process.assigner.RecordDispatch(d)
		for _, address := range targets {
			a.outbox.add(address, d)
		}
	}
}

// relayTargets returns the addresses of the VMs to which a message of another VM is passed on.
func (f *fleet) relayTargets(sender string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		return nil
	}
	var out []string
	for _, vm := range f.plan.RelayTargets(sender) {
		if m := f.members[vm]; m != nil {
			out = append(out, m.Peers)
		}
	}
	return out
}

// Announce implements peerpb.VMsServer.
func (s *vmServer) Announce(_ context.Context, in *peerpb.Announcement) (*peerpb.AnnouncementReceipt, error) {
	s.process.fleet.announcements.receive(in)
	return &peerpb.AnnouncementReceipt{}, nil
}
