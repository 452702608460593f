package vm

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

const (
	// maxForwardTargets bounds the VMs to which a request is offered, offerTimeout the wait for a connection to each and for
	// its answer.
	maxForwardTargets = 3
	offerTimeout      = 150 * time.Millisecond
	// maxForwarded bounds the requests of other VMs that this one serves at a time, so that a cut of most VMs leaves the
	// rest room for callers of their own.
	maxForwarded = 128
	// maxForwardedPiece bounds the body of a request that is handed over, and the pieces of a response, in bytes: half of
	// what a message may have.
	maxForwardedPiece = 1 << 20
	// maxForwardedWhole bounds a response that is passed on once it is complete, in bytes.
	maxForwardedWhole = 16 << 20
)

// forward implements traffic.ForwardFunc: it offers the request to VMs that are ready and reach the service.
func (f *fleet) forward(ctx context.Context, service string, request traffic.Forwarded, sink traffic.Sink) (traffic.ForwardEnd, error) {
	if len(request.Request.Body) > maxForwardedPiece {
		return traffic.ForwardEnd{}, errors.WithStack(traffic.ErrNotForwarded)
	}
	for _, address := range f.forwardTargets(service) {
		h := &handover{sink: sink}
		err := f.process.pool.Stream(ctx, address, func(ctx context.Context, conn grpc.ClientConnInterface) error {
			return h.run(ctx, peerpb.NewVMsClient(conn), service, forwardedToProto(f.process.settings.VM, request))
		})
		switch {
		case h.end != nil:
			return forwardEnd(h.end), nil
		case h.handedOver:
			return traffic.ForwardEnd{}, errors.Wrapf(traffic.ErrUnknown, "handed to %s: %v", address, err)
		case ctx.Err() != nil:
			return traffic.ForwardEnd{}, errors.WithStack(traffic.ErrNotForwarded)
		}
	}
	return traffic.ForwardEnd{}, errors.WithStack(traffic.ErrNotForwarded)
}

// forwardTargets returns the addresses of VMs that are ready and reach a service, in random order, those of this
// VM's region first: requests are longer on their way to others.
func (f *fleet) forwardTargets(service string) []string {
	now := time.Now()
	regions, own := f.process.settings.Regions, f.process.settings.FailureDomain
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []string
	for vm, m := range f.members {
		if slices.Contains(m.unreachable, service) || !f.isReady(vm, m, later(m.lastReport, m.firstSeen), peerTimeout, now) {
			continue
		}
		if regions[m.Domain] == regions[own] {
			near = append(near, m.Peers)
		} else {
			far = append(far, m.Peers)
		}
	}
	shuffle := func(list []string) { rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] }) }
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(maxForwardTargets, len(all))]
}

// handover is one request on its way to another VM.
type handover struct {
	sink traffic.Sink
	// handedOver is set once the request may have reached the other VM, end once that VM has ended it.
	handedOver bool
	end        *peerpb.ForwardEnd
	// whole is the beginning of a response that is passed on once it is complete.
	whole *peerpb.ForwardHead
}

func (h *handover) run(ctx context.Context, client peerpb.VMsClient, service string, request *peerpb.ForwardedRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(offerTimeout, cancel)
	defer timer.Stop()
	stream, err := client.Forward(ctx)
	if err != nil {
		return err
	}
	ready, err := offer(stream, service)
	if err != nil {
		return err
	}
	if request.StreamVersion != "" && !ready.KeepsVersion {
		return errors.WithStack(traffic.ErrNotForwarded)
	}
	if !timer.Stop() {
		return errors.WithStack(traffic.ErrNotForwarded)
	}
	h.handedOver = true
	if err := stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Request{Request: request}}); err != nil {
		return err
	}
	for h.end == nil {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := h.receive(in); err != nil {
			return err
		}
	}
	return nil
}

// offer offers a request for a service, and returns the other VM's answer if that takes it.
func offer(stream grpc.BidiStreamingClient[peerpb.ForwardRequest, peerpb.ForwardResponse], service string) (*peerpb.ForwardReady, error) {
	if err := stream.Send(&peerpb.ForwardRequest{Part: &peerpb.ForwardRequest_Offer{Offer: &peerpb.ForwardOffer{Service: service}}}); err != nil {
		return nil, err
	}
	answer, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if answer.GetReady() == nil {
		return nil, errors.WithStack(traffic.ErrNotForwarded)
	}
	return answer.GetReady(), nil
}

// receive passes a part of the response on to the caller. The error is errInvalidPart, wrapped, if the part is not valid, or that
// of the sink.
func (h *handover) receive(in *peerpb.ForwardResponse) error {
	switch part := in.Part.(type) {
	case *peerpb.ForwardResponse_Refusal:
		if err := checkStatus(part.Refusal.Status); err != nil {
			return err
		}
		h.sink.Refuse(traffic.Refusal{
			Status: int(part.Refusal.Status), Reason: part.Refusal.Reason, Detail: part.Refusal.Detail,
			RetryAfter: time.Duration(part.Refusal.RetryAfterMs) * time.Millisecond,
		})
	case *peerpb.ForwardResponse_Head:
		return h.receiveHead(part.Head)
	case *peerpb.ForwardResponse_Chunk:
		return h.receiveChunk(part.Chunk.Data)
	case *peerpb.ForwardResponse_End:
		if h.whole != nil {
			h.sink.WriteResponse(int(h.whole.Status), headerFromProto(h.whole.Header), h.whole.Body)
		}
		h.end = part.End
	}
	return nil
}

func (h *handover) receiveHead(head *peerpb.ForwardHead) error {
	if err := checkStatus(head.Status); err != nil {
		return err
	}
	if head.Whole {
		h.whole = head
		return nil
	}
	h.sink.Begin(int(head.Status), headerFromProto(head.Header))
	return nil
}

func (h *handover) receiveChunk(data []byte) error {
	if h.whole == nil {
		if err := h.sink.WriteChunk(data); err != nil {
			return err
		}
		return h.sink.Flush()
	}
	if len(h.whole.Body)+len(data) > maxForwardedWhole {
		return errors.Wrapf(errInvalidPart, "a whole response of more than %d bytes", maxForwardedWhole)
	}
	h.whole.Body = append(h.whole.Body, data...)
	return nil
}

// errInvalidPart means that what another VM sent is no valid part of a response.
var errInvalidPart = errors.New("vm: invalid part of a response from another VM")

// checkStatus returns errInvalidPart, wrapped, for an invalid status.
func checkStatus(status int32) error {
	if !transport.IsStatus(int(status)) {
		return errors.Wrapf(errInvalidPart, "status %d", status)
	}
	return nil
}

// Forward implements peerpb.VMsServer.
func (s *vmServer) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	p := s.process
	defer p.forwarded.Add(-1)
	if p.forwarded.Add(1) > maxForwarded || !p.takesForwarded(in.GetOffer().GetService()) {
		return status.Error(codes.Unavailable, "this VM does not take the request")
	}
	if err := stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Ready{Ready: &peerpb.ForwardReady{KeepsVersion: true}}}); err != nil {
		return err
	}
	in, err = stream.Recv()
	if err != nil {
		return err
	}
	request := in.GetRequest()
	if request == nil {
		return status.Error(codes.InvalidArgument, "no request follows the offer")
	}
	end := p.core.ServeForwarded(stream.Context(), forwardedFromProto(request, time.Now()), &peerSink{stream: stream})
	return stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ForwardEnd{
		Sends: int32(end.Sends), PossibleRuns: int32(end.PossibleRuns), Upstream: end.Upstream, Truncated: end.Truncated,
	}}})
}

// takesForwarded reports whether this VM takes requests of other VMs for a service.
func (p *Process) takesForwarded(service string) bool {
	return p.ready() && !slices.Contains(p.unreachable(), service)
}
