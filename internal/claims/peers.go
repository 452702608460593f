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

// askTimeout bounds one question to another VM.
const askTimeout = 500 * time.Millisecond

// ErrUnknownVM means that no address is known of a VM.
var ErrUnknownVM = errors.New("claims: unknown VM")

// PeerAsker asks over gRPC.
type PeerAsker struct {
	// Pool makes the calls.
	Pool *peer.Pool
	// Address returns a VM's address for peers, or "".
	Address func(vm string) string
}

// Ask implements Asker.
func (p PeerAsker) Ask(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	address := p.Address(vm)
	if address == "" {
		return claim.Lost, nil, errors.Wrap(ErrUnknownVM, vm)
	}
	var out *peerpb.AskAttemptResponse
	err := p.Pool.Call(ctx, address, askTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		out, err = peerpb.NewClaimsClient(conn).AskAttempt(ctx, &peerpb.AskAttemptRequest{Attempt: attempt})
		return err
	})
	if err != nil {
		return claim.Lost, nil, err
	}
	return decodeState(out.GetState()), decodeAnswer(out.GetAnswer()), nil
}

// Server answers the questions of other VMs.
type Server struct {
	peerpb.UnimplementedClaimsServer
	claims *Claims
}

// Register adds the service to a server of peers.
func (c *Claims) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterClaimsServer(r, &Server{claims: c})
}

// AskAttempt returns the state of an attempt of this VM.
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

// decodeState takes a state that it does not know for lost, which claims nothing.
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
