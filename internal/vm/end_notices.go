package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// endNoticeTimeout bounds a call that tells another VM of upstreams that ended.
	endNoticeTimeout = 400 * time.Millisecond
	// maxNoticeCalls is how often a VM is told that does not answer, noticeRetryPause the time between two calls. Reports
	// carry requests with several ends besides.
	maxNoticeCalls   = 6
	noticeRetryPause = 200 * time.Millisecond
)

// endNotices tells other VMs at once under which requests upstreams have ended: callers repeat a request within
// milliseconds. Requests that come up while a notice to a VM is on its way go into its next one, so that the end of many
// upstreams at once costs few calls, and a VM that does not answer delays no other.
type endNotices struct {
	fleet *fleet
	// tell is callPartner, and partners reportingPartners, except in tests.
	tell     func(address string, requests []quarantine.Key) error
	partners func() []string
	pending  *outbox[*endNotice]
}

// endNotice is the news of one request for one VM.
type endNotice struct {
	request quarantine.Key
	// calls is how often the VM has been told without an answer.
	calls int
	told  *sync.WaitGroup
}

func newEndNotices(f *fleet) *endNotices {
	n := &endNotices{fleet: f}
	n.tell, n.partners = n.callPartner, f.reportingPartners
	n.pending = newOutbox(n.send)
	n.pending.onDrop = func(e *endNotice) { e.told.Done() }
	return n
}

// share tells the partners what is known of some requests. The channel is closed once they have answered, or count as gone.
func (n *endNotices) share(requests []quarantine.Key) <-chan struct{} {
	return n.shareWith(n.partners(), requests)
}

// shareWith tells the VMs at some addresses what is known of some requests and parts of prompts.
func (n *endNotices) shareWith(addresses []string, requests []quarantine.Key) <-chan struct{} {
	told := new(sync.WaitGroup)
	for _, address := range addresses {
		for _, q := range requests {
			told.Add(1)
			n.pending.add(address, &endNotice{request: q, told: told})
		}
	}
	done := make(chan struct{})
	go func() {
		told.Wait()
		close(done)
	}()
	return done
}

// send tells a VM of some requests, and later again if it does not answer: one that lacked processor time is up again soon.
func (n *endNotices) send(address string, batch []*endNotice) {
	requests := make([]quarantine.Key, len(batch))
	for i, e := range batch {
		requests[i] = e.request
	}
	slices.Sort(requests)
	requests = slices.Compact(requests)
	if n.tell(address, requests) == nil {
		endAll(batch)
		return
	}
	time.Sleep(noticeRetryPause)
	if !slices.Contains(n.partners(), address) {
		endAll(batch)
		return
	}
	for _, e := range batch {
		if e.calls++; e.calls >= maxNoticeCalls {
			e.told.Done()
			continue
		}
		n.pending.add(address, e)
	}
}

// endAll records that no further call is needed for some notices.
func endAll(batch []*endNotice) {
	for _, e := range batch {
		e.told.Done()
	}
}

// callPartner tells another VM what is known of some requests.
func (n *endNotices) callPartner(address string, requests []quarantine.Key) error {
	message := &peerpb.EndsNotice{Requests: endsToProto(n.fleet.process.quarantine.Get(requests), time.Now())}
	var answer *peerpb.EndsNotice
	err := n.fleet.process.pool.Call(context.Background(), address, endNoticeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).ShareEnds(ctx, message)
		return err
	})
	if err == nil {
		n.merge(answer.Requests)
	}
	return err
}

// merge adds what another VM tells, and returns what it lacks. A hub passes news on to its other partners; any VM tells
// of its own requests that are found to have ended an upstream.
func (n *endNotices) merge(told []*peerpb.RequestEnds) (lacking []quarantine.Key) {
	now := time.Now()
	var fresh []quarantine.Key
	for _, in := range told {
		if in == nil {
			continue
		}
		record := endsFromProto(in, now)
		news, tell := n.fleet.process.quarantine.Merge(record, now)
		for _, q := range news {
			if q != record.Key || n.fleet.isHub() {
				fresh = append(fresh, q)
			}
		}
		if tell {
			lacking = append(lacking, record.Key)
		}
	}
	if len(fresh) > 0 {
		n.share(fresh)
	}
	return lacking
}

// reportingPartners returns the addresses of the VMs with which reports are exchanged: all others in a small fleet, the
// hub of a VM that follows one, the followers of a hub and the other hubs.
func (f *fleet) reportingPartners() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		return nil
	}
	var out []string
	for _, partner := range f.plan.Partners {
		if m := f.members[partner.Name]; m != nil && partner.Weight > 0 {
			out = append(out, m.Peers)
		}
	}
	return out
}

// ShareEnds implements peerpb.VMsServer.
func (s *vmServer) ShareEnds(_ context.Context, in *peerpb.EndsNotice) (*peerpb.EndsNotice, error) {
	lacking := s.process.fleet.ends.merge(in.Requests)
	return &peerpb.EndsNotice{Requests: endsToProto(s.process.quarantine.Get(lacking), time.Now())}, nil
}

// recordEnded records that an instance that was not draining is gone: exchanges with it that broke lately did so because
// it ended.
func (p *Process) recordEnded(i *upstream.Instance, now time.Time) {
	if i.Draining {
		return
	}
	if requests := p.quarantine.RecordGone(i.IncarnationID(), now); len(requests) > 0 {
		p.fleet.ends.share(requests)
	}
}

func endsToProto(records []quarantine.Record, now time.Time) []*peerpb.RequestEnds {
	var out []*peerpb.RequestEnds
	for _, r := range records {
		message := &peerpb.RequestEnds{Request: uint64(r.Key), AnsweredMs: -1, Depth: int32(r.Depth)}
		if !r.Answered.IsZero() {
			message.AnsweredMs = now.Sub(r.Answered).Milliseconds()
		}
		for incarnation, at := range r.Ends {
			message.Ends = append(message.Ends, &peerpb.UpstreamEnd{Incarnation: incarnation, AgoMs: now.Sub(at).Milliseconds()})
		}
		out = append(out, message)
	}
	return out
}

func endsFromProto(in *peerpb.RequestEnds, now time.Time) quarantine.Record {
	out := quarantine.Record{Key: quarantine.Key(in.Request), Depth: int(in.Depth), Ends: make(map[string]time.Time, len(in.Ends))}
	for _, e := range in.Ends {
		if e != nil {
			out.Ends[e.Incarnation] = now.Add(-time.Duration(e.AgoMs) * time.Millisecond)
		}
	}
	if in.AnsweredMs >= 0 {
		out.Answered = now.Add(-time.Duration(in.AnsweredMs) * time.Millisecond)
	}
	return out
}
