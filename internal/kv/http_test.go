package kv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// serve starts a stand-in of the key-value service and returns a client of it.
func serve(t *testing.T, o kv.Options) (*kv.HTTP, *standin.KV) {
	service := standin.NewKV(standin.KVOptions{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	t.Cleanup(service.Close)
	o.URLs = append(o.URLs, server.URL)
	client, err := kv.NewHTTP(o)
	require.NoError(t, err)
	return client, service
}

func TestHTTPReadsAndSwaps(t *testing.T) {
	ctx := context.Background()
	registry := metrics.NewRegistry()
	s, _ := serve(t, kv.Options{Metrics: registry})
	_, err := s.Get(ctx, "/k")
	require.ErrorIs(t, err, kv.ErrNotFound)
	first, err := s.CompareAndSwap(ctx, "/k", kv.RevisionAbsent, []byte("one"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.TookEffect, first.Outcome)
	refused, err := s.CompareAndSwap(ctx, "/k", kv.RevisionAbsent, []byte("two"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.NoEffect, refused.Outcome)
	require.Equal(t, "one", string(refused.Current.Value))
	require.Equal(t, first.Revision, refused.Current.Revision)
	entry, err := s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, kv.Entry{Key: "/k", Value: []byte("one"), Revision: first.Revision}, entry)
	revision, err := s.Revision(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, first.Revision, revision)
	_, err = s.CompareAndSwap(ctx, "/k", revision, make([]byte, kv.MaxValueBytes+1), kv.NoLease)
	require.ErrorIs(t, err, kv.ErrTooLarge)
	require.EqualValues(t, 2, registry.Get("kv.calls.cas").(metrics.Counter).Count())
	require.EqualValues(t, 2, registry.Get("kv.calls.get").(metrics.Counter).Count())
}

func TestHTTPLeaseDeletesItsKeys(t *testing.T) {
	ctx := context.Background()
	s, _ := serve(t, kv.Options{})
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.NoError(t, s.KeepAlive(ctx, lease))
	put, err := s.CompareAndSwap(ctx, "/leader", kv.RevisionAbsent, []byte("me"), lease)
	require.NoError(t, err)
	entries, err := s.Watch(ctx, "/leader", put.Revision)
	require.NoError(t, err)
	require.NoError(t, s.Revoke(ctx, lease))
	gone := <-entries
	require.Nil(t, gone.Value)
	require.ErrorIs(t, s.KeepAlive(ctx, lease), kv.ErrLeaseGone)
	require.NoError(t, s.Revoke(ctx, lease))
}

func TestHTTPWatchDeliversFromARevision(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, _ := serve(t, kv.Options{})
	one, err := s.CompareAndSwap(ctx, "/k", kv.RevisionAbsent, []byte("1"), kv.NoLease)
	require.NoError(t, err)
	two, err := s.CompareAndSwap(ctx, "/k", one.Revision, []byte("2"), kv.NoLease)
	require.NoError(t, err)
	entries, err := s.Watch(ctx, "/k", one.Revision)
	require.NoError(t, err)
	require.Equal(t, two.Revision, (<-entries).Revision)
	_, err = s.CompareAndSwap(ctx, "/k", two.Revision, []byte("3"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, "3", string((<-entries).Value))
	cancel()
	_, open := <-entries
	require.False(t, open)
}

// The service executes a write, and the answer is lost with the connection. If
// the client reported a failure, the caller would perform the action twice.
func TestHTTPDistinguishesLostAnswerFromUnsentRequest(t *testing.T) {
	ctx := context.Background()
	s, service := serve(t, kv.Options{CallTimeout: 200 * time.Millisecond})
	for name, faults := range map[string]standin.KVFaults{
		"answer lost":         {LoseAnswers: 1},
		"request lost":        {LoseRequests: 1},
		"no answer":           {HangAnswers: 1},
		"service says 503":    {Outage: standin.OutageError},
		"connection reset":    {Outage: standin.OutageReset},
		"service cut off":     {Outage: standin.OutageHang},
		"answer comes late":   {LateMS: 1_000},
		"service much slower": {SlowMS: 1_000},
	} {
		service.SetFaults(&faults)
		result, err := s.CompareAndSwap(ctx, "/"+name, kv.RevisionAbsent, []byte("x"), kv.NoLease)
		require.NoError(t, err, name)
		require.Equal(t, kv.Unknown, result.Outcome, name)
		service.SetFaults(nil)
	}
	unreachable, err := kv.NewHTTP(kv.Options{URLs: []string{"http://127.0.0.1:1"}})
	require.NoError(t, err)
	result, err := unreachable.CompareAndSwap(ctx, "/k", kv.RevisionAbsent, []byte("x"), kv.NoLease)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	require.Equal(t, kv.NoEffect, result.Outcome)
}

// One of the service's addresses is unreachable. Calls must succeed at another one.
func TestHTTPFailsOverToAnotherAddress(t *testing.T) {
	s, _ := serve(t, kv.Options{URLs: []string{"http://127.0.0.1:1"}})
	result, err := s.CompareAndSwap(context.Background(), "/k", kv.RevisionAbsent, []byte("x"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.TookEffect, result.Outcome)
}

// An intermediate gateway answers 200 with an empty object. That is not the answer
// of a transaction, so the client must not report "did not".
func TestHTTPReportsUnknownForAnEmptyAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) }))
	defer server.Close()
	s, err := kv.NewHTTP(kv.Options{URLs: []string{server.URL}})
	require.NoError(t, err)
	result, err := s.CompareAndSwap(context.Background(), "/k", 1, []byte("x"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.Unknown, result.Outcome)
}

// A status page sends calls continuously. Calls that withdraw a key or claim an
// action must still be served.
func TestHTTPBudgetReservesTokensForClaims(t *testing.T) {
	s, _ := serve(t, kv.Options{Budget: kv.Budget{CallsPerSecond: 0.001, Burst: 8}})
	status, cancel := context.WithTimeout(kv.WithPriority(context.Background(), kv.PriorityStatus), 20*time.Second)
	defer cancel()
	var err error
	served := 0
	for ; err == nil; served++ {
		_, err = s.Revision(status, "/k")
	}
	var budget *kv.BudgetError
	require.ErrorAs(t, err, &budget)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	require.Equal(t, 4, served-1, "status calls served: half of the burst must stay reserved for higher priorities")
	claim := kv.WithPriority(context.Background(), kv.PriorityClaim)
	for range 4 {
		result, err := s.CompareAndSwap(claim, "/k", kv.RevisionAbsent, []byte("x"), kv.NoLease)
		require.NoError(t, err)
		require.NotEqual(t, kv.Unknown, result.Outcome)
	}
}

// silentTransport is a transport whose requests all time out. It counts the calls
// of CloseIdleConnections.
type silentTransport struct {
	closedIdle int
}

func (s *silentTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, context.DeadlineExceeded
}

func (s *silentTransport) CloseIdleConnections() { s.closedIdle++ }

// A firewall drops the state of all connections to the service at once. If the
// client kept its idle connections, one call for each of them would time out.
func TestHTTPClosesIdleConnectionsAfterALostAnswer(t *testing.T) {
	transport := new(silentTransport)
	s, err := kv.NewHTTP(kv.Options{URLs: []string{"http://127.0.0.1:1"}, Client: &http.Client{Transport: transport}})
	require.NoError(t, err)
	_, err = s.Get(context.Background(), "/k")
	require.ErrorIs(t, err, kv.ErrUnavailable)
	require.Equal(t, 1, transport.closedIdle)
}

// On a slow link, reading the environment document takes several times the call timeout. A
// call that ended at the timeout would restart the read from the beginning for ever, and
// withdrawn keys would stay valid.
func TestHTTPReadsALargeValueOverASlowLink(t *testing.T) {
	service := standin.NewKV(standin.KVOptions{})
	t.Cleanup(service.Close)
	const timeout = 2 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := httptest.NewRecorder()
		service.ServeHTTP(whole, r)
		body := whole.Body.Bytes()
		for part := range slices.Chunk(body, len(body)/4+1) {
			time.Sleep(timeout / 3)
			_, _ = w.Write(part)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	s, err := kv.NewHTTP(kv.Options{URLs: []string{server.URL}, CallTimeout: timeout})
	require.NoError(t, err)
	_, err = s.CompareAndSwap(t.Context(), "/k", kv.RevisionAbsent, make([]byte, 64<<10), kv.NoLease)
	require.NoError(t, err)
	entry, err := s.Get(t.Context(), "/k")
	require.NoError(t, err)
	require.Len(t, entry.Value, 64<<10)
}
