package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/placement"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// gate is a store whose calls wait while it is shut, as those of a paused
// process do.
type gate struct {
	kv.Store
	lock sync.RWMutex
}

func (g *gate) pass() {
	g.lock.RLock()
	defer g.lock.RUnlock()
}

func (g *gate) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease kv.LeaseID) (kv.Result, error) {
	g.pass()
	return g.Store.CompareAndSwap(context.WithoutCancel(ctx), key, expected, value, lease)
}

func (g *gate) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	g.pass()
	return g.Store.KeepAlive(ctx, lease)
}

// A leader is paused in the middle of its work, by its VM or by a full disk of
// the host, and wakes when another one leads. If it then went on, both would
// load into the same memory and engines would fail what they run.
func TestLeaderThatWakesAfterItsLeaseDoesNoHarm(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 4, 3)
	memory := s.store
	shut := &gate{Store: memory}
	s.store = shut
	first, _ := s.start("vm1")
	require.Eventually(t, func() bool { return s.loads() > 2 }, patience, time.Millisecond)
	shut.lock.Lock()
	s.store = memory
	second, _ := s.start("vm2")
	require.Eventually(t, func() bool {
		status, err := second.Status()
		return err == nil && status.InControl
	}, patience, 10*time.Millisecond)
	shut.lock.Unlock()
	s.awaitTwoDomains(16)
	require.Eventually(t, func() bool { _, err := first.Status(); return err != nil }, patience, 10*time.Millisecond)
	s.requireNoHarm()
}

func (s *site) loads() int {
	return s.weights.Records().(standin.WeightStoreRecords).Loads
}

// The key-value service takes writes but its answers are lost, then it is down.
// A planner that took a lost answer for a refusal would forget what it allowed.
func TestLostAnswersAndAnOutageStopChangesAndHarmNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 4, 3)
	memory := s.store.(*kvtest.Memory)
	memory.Change(func(f *kvtest.Faults) { f.LoseAnswers = 12 })
	p, _ := s.start("vm1")
	require.Eventually(t, func() bool { return s.loads() > 4 }, patience, time.Millisecond)
	memory.Change(func(f *kvtest.Faults) { f.Outage = true })
	require.Eventually(t, func() bool { _, err := p.Status(); return err != nil }, patience, 10*time.Millisecond)
	before := s.loads()
	ready := len(s.readyDomains())
	time.Sleep(time.Second)
	require.Equal(t, before, s.loads(), "no load without the service")
	require.GreaterOrEqual(t, len(s.readyDomains()), ready)
	memory.Change(func(f *kvtest.Faults) { f.Outage = false; f.LoseAnswers = 5 })
	s.awaitTwoDomains(16)
	s.requireNoHarm()
}

// Operators drain an engine to replace it. Its copies must be ready elsewhere
// before it is taken away, or callers of a model are refused.
func TestDrainingEngineIsReplacedElsewhere(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 3, 1)
	s.start("vm1")
	s.awaitTwoDomains(6)
	s.kinds[0].SetFaults(&standin.EngineFaults{Draining: true})
	s.kinds[1].SetFaults(&standin.EngineFaults{Draining: true})
	require.Eventually(t, func() bool {
		counts := s.readyDomainsBut(0, 1)
		for _, domains := range counts {
			if len(domains) < 2 {
				return false
			}
		}
		return len(counts) == 6
	}, patience, 20*time.Millisecond)
	s.requireNoHarm()
}

// A model is replaced by a new version while engines restart. The old one has
// to serve until the new one is ready in two failure domains.
func TestVersionIsReplacedBesideTheOldOneWhileEnginesRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 3, 1)
	s.start("vm1")
	s.awaitTwoDomains(6)
	next := *s.doc
	next.Models = append([]document.Model(nil), s.doc.Models...)
	next.Models[0].Version = "v2"
	s.put(&next)
	s.engines[2].Inject(standin.ServerFaults{Restart: true})
	missing := 0
	require.Eventually(t, func() bool {
		ready := s.readyDomains()
		if len(ready["m0/@v1"])+len(ready["m0/@v2"]) == 0 {
			missing++
		}
		return len(ready["m0/@v2"]) == 2 && len(ready["m0/@v1"]) == 0 && len(ready["m0/m0-a0@v1"]) == 2
	}, patience, 5*time.Millisecond)
	require.Zero(t, missing)
	s.requireNoHarm()
}

// A flash crowd asks for one model. Without a report of that, its copies would
// stay as many as everyone else's and the crowd would wait.
func TestDemandReportsBringCopies(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 3, 1)
	p, _ := s.start("vm1")
	s.awaitTwoDomains(6)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	r := NewReporter(ReporterOptions{VM: "vm1", Environment: "trial", Store: s.store, Client: server.Client(), Every: 50 * time.Millisecond})
	r.leader = server.URL
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	require.Eventually(t, func() bool {
		r.Add("m1", "", 1000)
		copies := 0
		status, err := p.Status()
		if err != nil {
			return false
		}
		for _, a := range status.Plan.Assignments {
			if a.Item == (placement.Item{Model: "m1", Version: "v1"}) {
				copies++
			}
		}
		return copies == 6
	}, patience, 20*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

func TestDemandReportIsRefusedWhereNobodyLeads(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 1, 0)
	p, err := New(Options{Environment: "trial", VM: "vm1", Store: s.store, Config: s.snapshot.Load})
	require.NoError(t, err)
	w := httptest.NewRecorder()
	body, err := json.Marshal(demand.Report{VM: "vm1", WindowMS: 1000})
	require.NoError(t, err)
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/demand", bytes.NewReader(body)))
	require.Equal(t, http.StatusMisdirectedRequest, w.Code)
}
