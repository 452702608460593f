package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

const (
	wireCalls   = 2000
	wireTimeout = 2 * time.Second
)

// countingListener counts the bytes sent and received over its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener. It wraps the connection to count its bytes.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &l.bytes}, nil
}

// Read implements net.Conn and counts the bytes read.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedAnswerServer answers every batch with the same answer.
type fixedAnswerServer struct {
	peerpb.UnimplementedQuotaServer
	answer *peerpb.QuotaBatch
}

// Exchange implements peerpb.QuotaServer.
func (e fixedAnswerServer) Exchange(context.Context, *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	return e.answer, nil
}

// measureWire measures the cost of a call in payload, in bytes on the connection and in
// processor time. The bytes on the connection include the frames and headers of
// HTTP/2, but not those of TCP and IP.
func measureWire(ctx context.Context) error {
	plainText := peer.Security{AllowPlainText: true}
	server, err := peer.NewServer(plainText)
	if err != nil {
		return err
	}
	pool, err := peer.NewPool(plainText)
	if err != nil {
		return err
	}
	defer pool.Close()
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	loan := quota.LoanID{Borrower: quota.Holder{VM: sampleVM, Incarnation: 1_780_000_000_000_000_000}, Number: 1 << 20}
	request := &peerpb.QuotaBatch{From: sampleVM, Messages: []*peerpb.QuotaMessage{
		ratelimit.Encode(quota.Ask{Loan: loan, Team: "drafting", Units: 5000, Balance: 1 << 40}),
	}}
	answer := &peerpb.QuotaBatch{From: sampleVM, Messages: []*peerpb.QuotaMessage{
		ratelimit.Encode(quota.Answer{Loan: loan, Team: "drafting", Units: 5000, Balance: 1 << 40, TTL: time.Second, Left: 1 << 40}),
	}}
	server.RegisterQuota(fixedAnswerServer{answer: answer})
	counted := &countingListener{Listener: lis}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = server.Serve(ctx, counted, time.Second) }()
	if _, err := pool.ExchangeQuota(ctx, lis.Addr().String(), wireTimeout, request); err != nil {
		return err
	}
	counted.bytes.Store(0)
	used, started := processorTime(), time.Now()
	for range wireCalls {
		if _, err := pool.ExchangeQuota(ctx, lis.Addr().String(), wireTimeout, request); err != nil {
			return err
		}
	}
	used = processorTime() - used
	payload := proto.Size(request) + proto.Size(answer)
	fmt.Printf("one call with its answer: payload %d bytes, on the connection %d bytes; processor time of both ends together %s, duration %s per call, one call at a time\n",
		payload, counted.bytes.Load()/wireCalls, used/wireCalls, time.Since(started)/wireCalls)
	return nil
}

// sampleVM is a VM ID of typical length.
const sampleVM = "gt-entry-7"
