package claims

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// forwardTimeout bounds one operation at another VM. After that the local VM executes
// the operation itself.
const forwardTimeout = 500 * time.Millisecond

// Forwarder submits operations to other VMs.
type Forwarder interface {
	// Submit has a VM execute an operation and returns the verdict, or an error if
	// the VM returned none. After an error the VM may still execute the operation. A
	// verdict that is not Granted and has no Found means that the operation failed at
	// the VM, which does not send the reason; the operation may still take effect.
	Submit(ctx context.Context, vm string, op claim.Op) (claim.Verdict, error)
}

// execute executes an operation at the VM that is preferred to write the shard, or
// locally if that VM returns an error or a verdict with neither Granted nor Found.
// Executing an operation twice is harmless: if the first execution took effect, the second
// finds the operation's own attempt ID in the claim and is granted too.
func (c *Claims) execute(ctx context.Context, op claim.Op) claim.Verdict {
	shard := op.Record.Key.Shard()
	vm := c.options.VM
	if c.options.Forwarder != nil {
		vm = c.options.Preferred(shard)
	}
	if vm != "" && vm != c.options.VM {
		v, err := c.options.Forwarder.Submit(ctx, vm, op)
		if err == nil && (v.Granted || v.Found != nil) {
			return v
		}
	}
	return c.shards[shard].execute(ctx, op)
}

// Submit implements Forwarder. It returns ErrUnknownVM if Address has no address for
// the VM.
func (p PeerClient) Submit(ctx context.Context, vm string, op claim.Op) (claim.Verdict, error) {
	address := p.Address(vm)
	if address == "" {
		return claim.Verdict{}, ErrUnknownVM
	}
	in := &peerpb.SubmitClaimRequest{Kind: encodeKind(op.Kind), Record: encodeRecord(&op.Record), From: op.From}
	var out *peerpb.SubmitClaimResponse
	err := p.Pool.Call(ctx, address, forwardTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewClaimsClient(conn).SubmitClaim(ctx, in)
		return err
	})
	if err != nil {
		return claim.Verdict{}, err
	}
	return claim.Verdict{ID: op.ID, Granted: out.GetGranted(), Found: decodeRecord(out.GetFound())}, nil
}

// SubmitClaim implements peerpb.ClaimsServer. It executes another VM's operation.
func (s *Server) SubmitClaim(ctx context.Context, in *peerpb.SubmitClaimRequest) (*peerpb.SubmitClaimResponse, error) {
	record := decodeRecord(in.GetRecord())
	if record == nil || record.Key == "" || record.Attempt == "" {
		return &peerpb.SubmitClaimResponse{}, nil
	}
	v := s.claims.ExecuteForwarded(ctx, claim.Op{Kind: decodeKind(in.GetKind()), Record: *record, From: in.GetFrom()})
	return &peerpb.SubmitClaimResponse{Granted: v.Granted, Found: encodeRecord(v.Found)}, nil
}

// ExecuteForwarded executes another VM's operation at this VM.
func (c *Claims) ExecuteForwarded(ctx context.Context, op claim.Op) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	op.ID = c.nextID.Add(1)
	op.Deadline, _ = ctx.Deadline()
	return c.shards[op.Record.Key.Shard()].execute(ctx, op)
}

var kinds = map[claim.Kind]peerpb.ClaimKind{
	claim.Claim:    peerpb.ClaimKind_CLAIM_KIND_CLAIM,
	claim.TakeOver: peerpb.ClaimKind_CLAIM_KIND_TAKE_OVER,
	claim.Store:    peerpb.ClaimKind_CLAIM_KIND_STORE,
}

func encodeKind(k claim.Kind) peerpb.ClaimKind { return kinds[k] }

// decodeKind returns claim.Claim for a kind that this version does not support.
func decodeKind(m peerpb.ClaimKind) claim.Kind {
	for kind, message := range kinds {
		if message == m {
			return kind
		}
	}
	return claim.Claim
}

func encodeRecord(r *claim.Record) *peerpb.ClaimRecord {
	if r == nil {
		return nil
	}
	return &peerpb.ClaimRecord{
		Key: string(r.Key), Body: r.BodyDigest, Vm: r.VM, Attempt: r.Attempt,
		ClaimedAt: r.ClaimedAt.UnixNano(), Answer: encodeAnswer(r.Answer),
	}
}

func decodeRecord(m *peerpb.ClaimRecord) *claim.Record {
	if m == nil {
		return nil
	}
	return &claim.Record{
		Key: claim.Key(m.GetKey()), BodyDigest: m.GetBody(), VM: m.GetVm(), Attempt: m.GetAttempt(),
		ClaimedAt: time.Unix(0, m.GetClaimedAt()), Answer: decodeAnswer(m.GetAnswer()),
	}
}
