package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// queryTimeout bounds one query for an attempt's state at another VM.
const queryTimeout = 500 * time.Millisecond

// ErrUnknownVM means that no address is known for a VM.
var ErrUnknownVM = errors.New("claims: unknown VM")

// PeerClient queries other VMs and forwards operations to them over gRPC. It
// implements AttemptQuerier and Forwarder.
type PeerClient struct {
	// Pool is used for the calls.
	Pool *peer.Pool
	// Address returns a VM's peer address, or "" if it is unknown.
	Address func(vm string) string
}

// QueryAttempt implements AttemptQuerier. It returns ErrUnknownVM if Address has no address for the
// VM.
func (p PeerClient) QueryAttempt(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	address := p.Address(vm)
	if address == "" {
		return claim.Lost, nil, errors.Wrap(ErrUnknownVM, vm)
	}
	var out *peerpb.AskAttemptResponse
	err := p.Pool.Call(ctx, address, queryTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewClaimsClient(conn).AskAttempt(ctx, &peerpb.AskAttemptRequest{Attempt: attempt})
		return err
	})
	if err != nil {
		return claim.Lost, nil, err
	}
	return decodeState(out.GetState()), decodeAnswer(out.GetAnswer()), nil
}

// Server implements peerpb.ClaimsServer for the other VMs.
type Server struct {
	peerpb.UnimplementedClaimsServer
	claims *Claims
}

// Register registers the claims service with a peer server.
func (c *Claims) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterClaimsServer(r, &Server{claims: c})
}

// AskAttempt implements peerpb.ClaimsServer. It returns the state of an attempt that
// this VM made.
func (s *Server) AskAttempt(_ context.Context, in *peerpb.AskAttemptRequest) (*peerpb.AskAttemptResponse, error) {
	state, answer := s.claims.State(in.GetAttempt())
	return &peerpb.AskAttemptResponse{State: encodeState(state), Answer: encodeAnswer(answer)}, nil
}

var states = map[claim.State]peerpb.AttemptState{
	claim.Lost:      peerpb.AttemptState_ATTEMPT_STATE_LOST,
	claim.Waiting:   peerpb.AttemptState_ATTEMPT_STATE_WAITING,
	claim.Running:   peerpb.AttemptState_ATTEMPT_STATE_RUNNING,
	claim.Abandoned: peerpb.AttemptState_ATTEMPT_STATE_ABANDONED,
	claim.Done:      peerpb.AttemptState_ATTEMPT_STATE_DONE,
}

func encodeState(s claim.State) peerpb.AttemptState { return states[s] }

// decodeState maps an unsupported state to claim.Lost, which implies nothing about
// whether the action ran.
func decodeState(m peerpb.AttemptState) claim.State {
	for state, message := range states {
		if message == m {
			return state
		}
	}
	return claim.Lost
}

func encodeAnswer(a *claim.Answer) *peerpb.ActionAnswer {
	if a == nil {
		return nil
	}
	return &peerpb.ActionAnswer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, Omitted: a.Omitted}
}

func decodeAnswer(m *peerpb.ActionAnswer) *claim.Answer {
	if m == nil {
		return nil
	}
	return &claim.Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), Omitted: m.GetOmitted()}
}
