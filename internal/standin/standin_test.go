package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/vmlist"
)

func serveTest(t *testing.T, s Standin) *Server {
	t.Helper()
	srv, err := Start("127.0.0.1:0", s)
	require.NoError(t, err)
	t.Cleanup(srv.Close)
	return srv
}

func fastEngine(t *testing.T, change func(*EngineOptions)) (*Engine, *Server) {
	t.Helper()
	o := EngineOptions{
		Name: "e1", Memory: 20 * document.GiB, KVCacheReserve: 4 * document.GiB, TimeScale: 200,
		Fencing:  document.FencingEnforced,
		Resident: []ResidentOption{{Model: "m", Version: "v1", Memory: 10 * document.GiB}},
	}
	if change != nil {
		change(&o)
	}
	e := NewEngine(o)
	return e, serveTest(t, e)
}

func newStore(t *testing.T, srv *Server) *kv.HTTP {
	t.Helper()
	store, err := kv.NewHTTP(kv.Options{URLs: []string{srv.URL()}, CallTimeout: time.Second})
	require.NoError(t, err)
	return store
}

func readAll(s *engine.Stream) (string, error) {
	var text strings.Builder
	for {
		event, err := s.Next()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if event.Done {
			continue
		}
		var c chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return text.String(), err
		}
		text.WriteString(*c.Choices[0].Text)
	}
}

func completion(srv *Server, id string, tokens int) engine.Request {
	body, _ := json.Marshal(completionRequest{Model: "m", Prompt: "draft the deed", MaxTokens: tokens, IgnoreEOS: true, Stream: true})
	return engine.Request{BaseURL: srv.URL(), Path: "/v1/completions", RequestID: id, Body: body}
}

// The client's compare-and-swap, lease and watch calls work against the
// gateway's published format. A wrong name on the wire would make every write
// look refused.
func TestKVServesClient(t *testing.T) {
	store := newStore(t, serveTest(t, NewKV(KVOptions{})))
	ctx := t.Context()
	_, err := store.Get(ctx, "/a")
	require.ErrorIs(t, err, kv.ErrNotFound)
	first, err := store.CompareAndSwap(ctx, "/a", kv.RevisionAbsent, []byte("one"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.TookEffect, first.Outcome)
	entries, err := store.Watch(ctx, "/a", first.Revision)
	require.NoError(t, err)
	second, err := store.CompareAndSwap(ctx, "/a", first.Revision, []byte("two"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.TookEffect, second.Outcome)
	stale, err := store.CompareAndSwap(ctx, "/a", first.Revision, []byte("three"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.NoEffect, stale.Outcome)
	require.Equal(t, "two", string(stale.Current.Value))
	require.Equal(t, kv.Entry{Key: "/a", Value: []byte("two"), Revision: second.Revision}, <-entries)

	lease, err := store.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.NoError(t, store.KeepAlive(ctx, lease))
	_, err = store.CompareAndSwap(ctx, "/leader", kv.RevisionAbsent, []byte("me"), lease)
	require.NoError(t, err)
	require.NoError(t, store.Revoke(ctx, lease))
	_, err = store.Get(ctx, "/leader")
	require.ErrorIs(t, err, kv.ErrNotFound)
	require.ErrorIs(t, store.KeepAlive(ctx, lease), kv.ErrLeaseGone)
}

// The answer to a write is lost after the write took effect. A client that
// treated this as a failure would write again and conflict with its own value.
func TestKVLosesAnswerAfterWrite(t *testing.T) {
	srv := serveTest(t, NewKV(KVOptions{}))
	store := newStore(t, srv)
	srv.standin.SetFaults(&KVFaults{LoseAnswers: 1, KeyContains: "claims"})
	plain, err := store.CompareAndSwap(t.Context(), "/other", kv.RevisionAbsent, []byte("x"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.TookEffect, plain.Outcome)
	lost, err := store.CompareAndSwap(t.Context(), "/claims/1", kv.RevisionAbsent, []byte("x"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, kv.Unknown, lost.Outcome)
	entry, err := store.Get(t.Context(), "/claims/1")
	require.NoError(t, err)
	require.Equal(t, "x", string(entry.Value))
}

// A watch stays open but stops delivering, while new watches work. A client can
// notice the missed changes only by reading the key as well.
func TestKVSilentWatchDeliversNothing(t *testing.T) {
	srv := serveTest(t, NewKV(KVOptions{}))
	store := newStore(t, srv)
	entries, err := store.Watch(t.Context(), "/a", 0)
	require.NoError(t, err)
	srv.standin.SetFaults(&KVFaults{WatchSilent: true})
	srv.standin.SetFaults(nil)
	newWatch, err := store.Watch(t.Context(), "/a", 0)
	require.NoError(t, err)
	_, err = store.CompareAndSwap(t.Context(), "/a", kv.RevisionAbsent, []byte("x"), kv.NoLease)
	require.NoError(t, err)
	require.Equal(t, "x", string((<-newWatch).Value))
	require.Empty(t, entries)
}

// A transaction that touches two keys is refused: the platform does not support
// it, and code that used it would fail only in production.
func TestKVRefusesMultiKeyTransactions(t *testing.T) {
	two := []requestOp{{RequestPut: &putRequest{Key: []byte("a")}}, {RequestPut: &putRequest{Key: []byte("b")}}}
	_, ok := singlePut(txnRequest{Success: two})
	require.False(t, ok)
	_, ok = singlePut(txnRequest{Compare: []compare{{Key: []byte("b")}}, Success: two[:1]})
	require.False(t, ok)
}

// Calls over the rate limit are refused and counted, and ExpireLeases ends all
// leases.
func TestKVRateLimitAndLeaseExpiry(t *testing.T) {
	k := NewKV(KVOptions{WritesPerSecond: 1})
	srv := serveTest(t, k)
	store := newStore(t, srv)
	lease, err := store.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	require.Error(t, store.KeepAlive(t.Context(), lease))
	k.SetFaults(&KVFaults{ExpireLeases: true})
	records := k.Records().(KVRecords)
	require.Equal(t, 1, records.Refused)
	require.Empty(t, k.leases)
}

// A stream that arrives completely has the text that Generate returns for the
// prompt.
func TestEngineStreamIsComplete(t *testing.T) {
	_, srv := fastEngine(t, nil)
	client := engine.NewClient(engine.ClientOptions{})
	s, err := client.Complete(t.Context(), completion(srv, "r1", 40))
	require.NoError(t, err)
	defer s.Close()
	text, err := readAll(s)
	require.NoError(t, err)
	require.Equal(t, Generate("m", "draft the deed", 40, true).Text(), text)
}

// The connection breaks, in one of several ways, after five events. The client
// must report an error for the incomplete stream, and resuming on a new
// connection must yield the rest without a gap or a second execution.
func TestEngineStreamBreaksAndResumes(t *testing.T) {
	for name, fault := range map[string]EngineFaults{
		"reset":     {ResetStreams: 1, AfterEvents: 5},
		"silent":    {SilenceStreams: 1, AfterEvents: 5},
		"truncated": {TruncateStreams: 1, AfterEvents: 5},
		"misrouted": {MisrouteStreams: 1, AfterEvents: 5},
	} {
		t.Run(name, func(t *testing.T) {
			e, srv := fastEngine(t, nil)
			client := engine.NewClient(engine.ClientOptions{IdleLimit: 300 * time.Millisecond})
			e.SetFaults(&fault)
			s, err := client.Complete(t.Context(), completion(srv, "r1", 40))
			require.NoError(t, err)
			start, err := readAll(s)
			require.Error(t, err)
			require.EqualValues(t, 5, s.LastID())
			s.Close()
			rest, err := client.Resume(t.Context(), srv.URL(), "r1", 5)
			require.NoError(t, err)
			defer rest.Close()
			end, err := readAll(rest)
			require.NoError(t, err)
			require.Equal(t, Generate("m", "draft the deed", 40, true).Text(), start+end)
			require.Equal(t, 1, e.Records().(EngineRecords).Executions["r1"])
		})
	}
}

// Every open connection becomes silent while new ones work: a read on the old
// one returns no data and no end of file.
func TestServerSilencesOpenConnections(t *testing.T) {
	e, srv := fastEngine(t, func(o *EngineOptions) { o.TimeScale = 1 })
	client := engine.NewClient(engine.ClientOptions{IdleLimit: 300 * time.Millisecond})
	s, err := client.Complete(t.Context(), completion(srv, "r1", 400))
	require.NoError(t, err)
	defer s.Close()
	_, err = s.Next()
	require.NoError(t, err)
	srv.Inject(ServerFaults{SilenceConnections: true})
	_, err = readAll(s)
	require.ErrorIs(t, err, engine.ErrBroken)
	rest, err := client.Resume(t.Context(), srv.URL(), "r1", s.LastID())
	require.NoError(t, err)
	defer rest.Close()
	_, err = rest.Next()
	require.NoError(t, err)
	require.Equal(t, 1, e.Records().(EngineRecords).Resumes)
}

// A restarted engine has a new incarnation, empty memory and no record of its
// earlier orders. It serves nothing until it receives a new load order.
func TestEngineRestartLosesState(t *testing.T) {
	e, srv := fastEngine(t, nil)
	before := e.visibleReport()
	srv.Inject(ServerFaults{Restart: true})
	after := e.visibleReport()
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Empty(t, after.Resident)
	require.Zero(t, after.MemoryUsed)
}

// A repeated order takes effect once, an order with the fencing token of a
// replaced leader is refused, and a load that exceeds the memory limit is
// recorded as an overcommit.
func TestEngineOrders(t *testing.T) {
	e, _ := fastEngine(t, nil)
	item := engine.Item{Model: "m", Adapter: "a", Version: "v1"}
	load := engine.Order{OrderID: "o1", Fence: 5, Kind: engine.OrderLoad, Item: item, Memory: int64(document.GiB)}
	e.apply(load)
	e.apply(load)
	require.Eventually(t, func() bool { return e.apply(load).State == engine.OrderDone }, 10*time.Second, time.Millisecond)
	old := engine.Order{OrderID: "o2", Fence: 4, Kind: engine.OrderUnload, Item: item}
	require.Equal(t, engine.OrderRefused, e.apply(old).State)
	require.Empty(t, e.Records().(EngineRecords).Overcommits)
	big := engine.Item{Model: "big", Version: "v1"}
	e.apply(engine.Order{OrderID: "o3", Fence: 5, Kind: engine.OrderLoad, Item: big, Memory: int64(6 * document.GiB)})
	records := e.Records().(EngineRecords)
	require.Len(t, records.Overcommits, 1)
	require.Equal(t, 2, records.Loads)
	unload := engine.Order{OrderID: "o4", Fence: 6, Kind: engine.OrderUnload, Item: item}
	require.Equal(t, engine.OrderDone, e.apply(unload).State)
}

// A prompt whose leading blocks are cached for the same model has these tokens
// counted as cached, which shortens its prefill.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(100)
	manual := strings.Repeat("manual page ", 200)
	require.Zero(t, c.matchAndInsert("m", manual))
	require.Equal(t, len(manual)/64*16, c.matchAndInsert("m", manual+"question"))
	require.Zero(t, c.matchAndInsert("other", manual))
}

// A service executes a call and resets the connection without an answer. A
// client that repeats the call executes it twice, and the records show both.
func TestServiceCountsExecutions(t *testing.T) {
	s := NewService(ServiceOptions{})
	srv := serveTest(t, s)
	s.SetFaults(&ServiceFaults{CloseAfterRun: 1})
	post := func() error {
		r, err := http.Post(srv.URL()+"/filings", "text/plain", strings.NewReader("deed"))
		if err == nil {
			_ = r.Body.Close()
		}
		return err
	}
	require.Error(t, post())
	require.NoError(t, post())
	require.Equal(t, 2, s.Records().(ServiceRecords).MostPerBody)
}

// Callers receive the list as it was one lag ago.
func TestVMListLags(t *testing.T) {
	l := NewVMList(VMListOptions{Lag: time.Hour, VMs: []ListedVM{{Address: "127.0.0.1:1"}}})
	l.Set([]vmlist.VM{{Address: "127.0.0.1:1", State: vmlist.Leaving}})
	seen, _ := l.laggedList()
	require.Equal(t, vmlist.Live, seen.VMs[0].State)
	l.SetFaults(&VMListFaults{LagMS: 1})
	require.Eventually(t, func() bool {
		seen, _ := l.laggedList()
		return seen.VMs[0].State == vmlist.Leaving
	}, 10*time.Second, time.Millisecond)
}

// Loads over the store's rate limit are refused and recorded.
func TestWeightStoreRecordsViolations(t *testing.T) {
	s := NewWeightStore(WeightStoreOptions{LoadsPerSecond: 1})
	srv := serveTest(t, s)
	remote := RemoteWeights{URL: srv.URL()}
	require.NoError(t, remote.Load(context.Background(), WeightLoad{Memory: 1}))
	require.ErrorIs(t, remote.Load(context.Background(), WeightLoad{Memory: 1}), ErrOverLimit)
	require.Equal(t, 1, s.Records().(WeightStoreRecords).RateViolations)
}

// A misspelt fault is refused, so that a scenario cannot pass because its
// fault was never injected.
func TestUnknownFaultsAreRefused(t *testing.T) {
	_, srv := fastEngine(t, nil)
	for body, want := range map[string]int{
		`{"reset_streams":1,"crashed":true}`: http.StatusNoContent,
		`{"reset_stream":1}`:                 http.StatusBadRequest,
	} {
		r, err := http.Post(srv.URL()+"/standin/faults", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		_ = r.Body.Close()
		require.Equal(t, want, r.StatusCode)
	}
	_, err := http.Get(srv.URL() + "/v1/load")
	require.Error(t, err)
}

// Errors in a configuration name the file, line and setting, and a listen
// address that is not an IP address is refused.
func TestConfigRefusesInvalidSettings(t *testing.T) {
	_, err := ParseConfig("f.yaml", []byte("standins:\n- {kind: kv, name: a, listen: '127.0.0.1:0'}\n- {kind: kw, name: b}\n"))
	require.ErrorIs(t, err, ErrUnknownKind)
	require.ErrorContains(t, err, "f.yaml:3: standins[1].kind")
	_, err = Start("localhost:0", NewService(ServiceOptions{}))
	require.ErrorIs(t, err, ErrNotIPAddress)
}
