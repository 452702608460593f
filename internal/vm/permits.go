package vm

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// permitTimeout bounds a call for a permit.
	permitTimeout = 100 * time.Millisecond
	// permitRetry is the delay after which a VM asks again that got no answer, or not from the VM that
	// issues the permits: about the time in which VMs agree which one that is.
	permitRetry = 500 * time.Millisecond
)

// permit asks for a permit to send a request to an upstream that names a rate limit. needed means that
// no other upstream can take the request.
func (f *fleet) permit(ctx context.Context, k upstreamrate.Key, needed bool) upstreamrate.Decision {
	issuer, address := f.permitIssuer(k.Instance)
	if issuer == f.process.settings.VM {
		return f.process.assigner.IssuePermit(k, needed, time.Now())
	}
	limit, _ := f.process.assigner.RateLimit(k)
	request := &peerpb.PermitRequest{Limit: rateLimitToProto(upstreamrate.Entry{Key: k, Limit: limit}), Needed: needed, Vm: f.process.settings.VM}
	decision, _ := f.callPermit(ctx, address, permitTimeout, request, issuer)
	return decision
}

// callPermit asks another VM for a permit. Without an answer the permit counts as denied.
func (f *fleet) callPermit(ctx context.Context, address string, timeout time.Duration, request *peerpb.PermitRequest, issuer string) (upstreamrate.Decision, error) {
	var answer *peerpb.PermitResponse
	err := f.process.pool.Call(ctx, address, timeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).Permit(ctx, request)
		return err
	})
	if err != nil {
		return upstreamrate.Decision{RetryAfter: permitRetry}, err
	}
	f.applyRateLimits([]*peerpb.RateLimit{answer.Limit}, issuer)
	return upstreamrate.Decision{Granted: answer.Granted, RetryAfter: time.Duration(answer.RetryAfterMs) * time.Millisecond}, nil
}

// Permit implements peerpb.VMsServer.
func (s *vmServer) Permit(ctx context.Context, in *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	f := s.process.fleet
	f.applyRateLimits([]*peerpb.RateLimit{in.Limit}, in.Vm)
	k := rateLimitFromProto(in.Limit).Key
	decision := upstreamrate.Decision{RetryAfter: permitRetry}
	if issuer, _ := f.permitIssuer(k.Instance); issuer == s.process.settings.VM {
		decision = f.places.issue(ctx, k, in.Needed, askFromProto(in))
	}
	out := &peerpb.PermitResponse{Granted: decision.Granted, RetryAfterMs: uint32(math.Ceil(decision.RetryAfter.Seconds() * 1000))}
	if limit, ok := s.process.assigner.RateLimit(k); ok {
		out.Limit = rateLimitToProto(upstreamrate.Entry{Key: k, Limit: limit})
	}
	return out, nil
}

// permitIssuer returns the VM that issues the permits of an upstream, and its address: one of the VMs
// that take callers, or this VM if there is none.
func (f *fleet) permitIssuer(instance string) (vm, address string) {
	self, now := f.process.settings.VM, time.Now()
	var candidates []string
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.process.ready() && f.countCut(self, f.process.unreachable(), now) == 0 {
		candidates = append(candidates, self)
	}
	for name, m := range f.members {
		if f.takesCallers(name, m, later(m.lastReport, m.firstSeen), peerTimeout, now) {
			candidates = append(candidates, name)
		}
	}
	issuer := upstreamrate.Issuer(instance, candidates)
	if issuer == "" || issuer == self {
		return self, ""
	}
	return issuer, f.members[issuer].Peers
}
