package vm

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
)

// peerSink sends the response to a forwarded request to the VM that handed it over. It implements traffic.Sink. A send
// that fails needs no handling: the stream's context ends with it, and so does the request.
type peerSink struct {
	stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]
	// events are the events that have not been flushed.
	events []byte
}

// Refuse implements traffic.Sink.
func (s *peerSink) Refuse(r traffic.Refusal) {
	_ = s.stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Refusal{Refusal: &peerpb.ForwardRefusal{
		Status: int32(r.Status), Reason: r.Reason, Detail: r.Detail, RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}})
}

// WriteResponse implements traffic.Sink.
func (s *peerSink) WriteResponse(status int, header http.Header, body []byte) {
	first := min(len(body), maxForwardedPiece)
	s.sendHead(&peerpb.ForwardHead{Status: int32(status), Header: headerToProto(header), Whole: true, Body: body[:first]})
	for piece := range slices.Chunk(body[first:], maxForwardedPiece) {
		_ = s.sendChunk(piece)
	}
}

// Begin implements traffic.Sink.
func (s *peerSink) Begin(status int, header http.Header) {
	s.sendHead(&peerpb.ForwardHead{Status: int32(status), Header: headerToProto(header)})
}

func (s *peerSink) sendHead(head *peerpb.ForwardHead) {
	_ = s.stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: head}})
}

// WriteChunk implements traffic.Sink.
func (s *peerSink) WriteChunk(piece []byte) error {
	s.events = append(s.events, piece...)
	return nil
}

// Flush implements traffic.Sink.
func (s *peerSink) Flush() error {
	events := s.events
	s.events = nil
	return s.sendChunk(events)
}

func (s *peerSink) sendChunk(data []byte) error {
	return s.stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Chunk{Chunk: &peerpb.ForwardChunk{Data: data}}})
}

func forwardedToProto(vm string, f traffic.Forwarded) *peerpb.ForwardedRequest {
	q := f.Request
	out := &peerpb.ForwardedRequest{
		Vm: vm, Id: q.ID, Host: q.Host, Path: q.Path, Target: q.Target, Method: q.Method, Header: headerToProto(q.Header), Body: q.Body,
		Team: f.Team, Model: q.Model, Adapter: q.Adapter, PromptTokens: int64(q.PromptTokens), OutputTokens: int64(q.OutputTokens),
		TokensDeclared: q.TokensDeclared, LengthHint: int64(q.LengthHint), LeftMs: q.Timeout.Milliseconds(), DueMs: f.DueIn.Milliseconds(),
		Sends: int32(f.Sends), PossibleRuns: int32(f.PossibleRuns), LastEventId: f.LastEventID, ResponseBegun: f.ResponseBegun,
		Service: f.Service, StreamVersion: f.Version, ResumeAfter: q.ResumeAfter, Resumes: q.Resumes,
	}
	for _, part := range q.Parts {
		out.Parts = append(out.Parts, &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return out
}

// forwardedFromProto returns a request that was handed over at now.
func forwardedFromProto(in *peerpb.ForwardedRequest, now time.Time) traffic.Forwarded {
	q := &traffic.Request{
		ID: in.Id, Host: in.Host, Path: in.Path, Target: in.Target, Method: in.Method, Header: headerFromProto(in.Header), Body: in.Body,
		Arrived: now, Timeout: max(time.Duration(in.LeftMs)*time.Millisecond, time.Millisecond),
		Model: in.Model, Adapter: in.Adapter, PromptTokens: int(in.PromptTokens), OutputTokens: int(in.OutputTokens),
		TokensDeclared: in.TokensDeclared, LengthHint: int(in.LengthHint), ResumeAfter: in.ResumeAfter, Resumes: in.Resumes,
	}
	for _, part := range in.Parts {
		q.Parts = append(q.Parts, traffic.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return traffic.Forwarded{
		Request: q, DueIn: time.Duration(in.DueMs) * time.Millisecond, Team: in.Team, Sends: int(in.Sends), PossibleRuns: int(in.PossibleRuns),
		LastEventID: in.LastEventId, ResponseBegun: in.ResponseBegun, Service: in.Service, Version: in.StreamVersion,
	}
}

func forwardEnd(in *peerpb.ForwardEnd) traffic.ForwardEnd {
	return traffic.ForwardEnd{Sends: int(in.Sends), PossibleRuns: int(in.PossibleRuns), Upstream: in.Upstream, Truncated: in.Truncated}
}

func headerToProto(h http.Header) []*peerpb.HeaderField {
	out := make([]*peerpb.HeaderField, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.HeaderField{Name: name, Values: values})
	}
	return out
}

func headerFromProto(fields []*peerpb.HeaderField) http.Header {
	out := make(http.Header, len(fields))
	for _, f := range fields {
		out[f.GetName()] = f.GetValues()
	}
	return out
}
