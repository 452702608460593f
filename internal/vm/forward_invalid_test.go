package vm

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
)

// recordingSink counts what a caller would get.
type recordingSink struct{ parts int }

func (s *recordingSink) Refuse(traffic.Refusal)                 { s.parts++ }
func (s *recordingSink) WriteResponse(int, http.Header, []byte) { s.parts++ }
func (s *recordingSink) Begin(int, http.Header)                 { s.parts++ }
func (s *recordingSink) WriteChunk([]byte) error                { s.parts++; return nil }
func (s *recordingSink) Flush() error                           { return nil }

// Guards against an invalid status from another VM, and against a response from it that is kept without end.
func TestInvalidPartsOfAResponseFromAnotherVMReachNoCaller(t *testing.T) {
	for _, status := range []int32{-1, 0, 99, 600, 1 << 20} {
		for _, in := range []*peerpb.ForwardResponse{
			{Part: &peerpb.ForwardResponse_Refusal{Refusal: &peerpb.ForwardRefusal{Status: status}}},
			{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ForwardHead{Status: status}}},
			{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ForwardHead{Status: status, Whole: true}}},
		} {
			sink := &recordingSink{}
			require.ErrorIs(t, (&handover{sink: sink}).receive(in), errInvalidPart)
			require.Zero(t, sink.parts)
		}
	}
	h := &handover{sink: &recordingSink{}}
	require.NoError(t, h.receive(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ForwardHead{Status: 200, Whole: true}}}))
	chunk := &peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Chunk{Chunk: &peerpb.ForwardChunk{Data: make([]byte, maxForwardedPiece)}}}
	for range maxForwardedWhole / maxForwardedPiece {
		require.NoError(t, h.receive(chunk))
	}
	require.ErrorIs(t, h.receive(chunk), errInvalidPart)
}
