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

// countingListener counts what goes over its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept wraps the connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &l.bytes}, nil
}

// Read counts what came in.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what went out.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// echo answers every batch with one answer.
type echo struct {
	peerpb.UnimplementedQuotaServer
	answer *peerpb.QuotaBatch
}

// Exchange implements peerpb.QuotaServer.
func (e echo) Exchange(context.Context, *peerpb.QuotaBatch) (*peerpb.QuotaBatch, error) {
	return e.answer, nil
}

// wire measures what a call costs beyond its payload: the frames and headers of
// HTTP/2, but not those of TCP and IP.
func wire(ctx context.Context) error {
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
	loan := quota.LoanID{Borrower: quota.Holder{VM: vmID, Incarnation: 1_780_000_000_000_000_000}, Number: 1 << 20}
	request := &peerpb.QuotaBatch{From: vmID, Messages: []*peerpb.QuotaMessage{
		ratelimit.Encode(quota.Ask{Loan: loan, Team: "drafting", Units: 5000, Balance: 1 << 40}),
	}}
	answer := &peerpb.QuotaBatch{From: vmID, Messages: []*peerpb.QuotaMessage{
		ratelimit.Encode(quota.Answer{Loan: loan, Team: "drafting", Units: 5000, Balance: 1 << 40, TTL: time.Second, Left: 1 << 40}),
	}}
	server.RegisterQuota(echo{answer: answer})
	counted := &countingListener{Listener: lis}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = server.Serve(ctx, counted, time.Second) }()
	if _, err := pool.ExchangeQuota(ctx, lis.Addr().String(), wireTimeout, request); err != nil {
		return err
	}
	counted.bytes.Store(0)
	used, started := cpu(), time.Now()
	for range wireCalls {
		if _, err := pool.ExchangeQuota(ctx, lis.Addr().String(), wireTimeout, request); err != nil {
			return err
		}
	}
	used = cpu() - used
	payload := proto.Size(request) + proto.Size(answer)
	fmt.Printf("one call with its answer: payload %d bytes, on the connection %d bytes; both ends together %s of processor time, %s a call in turn\n",
		payload, counted.bytes.Load()/wireCalls, used/wireCalls, time.Since(started)/wireCalls)
	return nil
}

// vmID is a VM ID of ordinary length.
const vmID = "gt-entry-7"
