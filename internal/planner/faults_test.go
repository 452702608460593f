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

// pausableStore is a store whose writes and lease renewals wait while its lock
// is held, like those of a paused process.
type pausableStore struct {
	kv.Store
	lock sync.RWMutex
}

func (g *pausableStore) waitWhilePaused() {
	g.lock.RLock()
	defer g.lock.RUnlock()
}

func (g *pausableStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease kv.LeaseID) (kv.Result, error) {
	g.waitWhilePaused()
	return g.Store.CompareAndSwap(context.WithoutCancel(ctx), key, expected, value, lease)
}

func (g *pausableStore) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	g.waitWhilePaused()
	return g.Store.KeepAlive(ctx, lease)
}

// A leader is paused in the middle of its work, by its VM or by a full disk of
// the host, and resumes after another planner has become leader. If it
// continued to send orders, both would load into the same memory and engines
// would fail what they are running.
func TestLeaderThatWakesAfterItsLeaseDoesNoHarm(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 4, 4, 3)
	memoryStore := s.store
	pausable := &pausableStore{Store: memoryStore}
	s.store = pausable
	first, _ := s.startPlanner("vm1")
	require.Eventually(t, func() bool { return s.loadCount() > 2 }, waitTimeout, time.Millisecond)
	pausable.lock.Lock()
	s.store = memoryStore
	second, _ := s.startPlanner("vm2")
	require.Eventually(t, func() bool {
		status, err := second.Status()
		return err == nil && status.InControl
	}, waitTimeout, 10*time.Millisecond)
	pausable.lock.Unlock()
	s.awaitTwoDomains(16)
	require.Eventually(t, func() bool { _, err := first.Status(); return err != nil }, waitTimeout, 10*time.Millisecond)
	s.requireNoViolations()
}

func (s *testFleet) loadCount() int {
	return s.weights.Records().(standin.WeightStoreRecords).Loads
}

// The key-value service applies writes but loses its responses, and then has an
// outage. A planner that treated a lost response as a refused write would no
// longer account for a load that it had recorded.
func TestLostResponsesAndAnOutageStopLoadsWithoutViolations(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 4, 4, 3)
	memoryStore := s.store.(*kvtest.Memory)
	memoryStore.UpdateFaults(func(f *kvtest.Faults) { f.LoseAnswers = 12 })
	p, _ := s.startPlanner("vm1")
	require.Eventually(t, func() bool { return s.loadCount() > 4 }, waitTimeout, time.Millisecond)
	memoryStore.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	require.Eventually(t, func() bool { _, err := p.Status(); return err != nil }, waitTimeout, 10*time.Millisecond)
	before := s.loadCount()
	ready := len(s.readyDomains())
	time.Sleep(time.Second)
	require.Equal(t, before, s.loadCount(), "a load started while the key-value service was down")
	require.GreaterOrEqual(t, len(s.readyDomains()), ready)
	memoryStore.UpdateFaults(func(f *kvtest.Faults) { f.Outage = false; f.LoseAnswers = 5 })
	s.awaitTwoDomains(16)
	s.requireNoViolations()
}

// Operators drain engines to replace them. Their copies must be ready elsewhere
// before they are taken away; otherwise requests for a model are refused.
func TestCopiesOnDrainingEnginesAreReplacedElsewhere(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 6, 3, 1)
	s.startPlanner("vm1")
	s.awaitTwoDomains(6)
	s.standins[0].SetFaults(&standin.EngineFaults{Draining: true})
	s.standins[1].SetFaults(&standin.EngineFaults{Draining: true})
	require.Eventually(t, func() bool {
		counts := s.readyDomainsExcept(0, 1)
		for _, domains := range counts {
			if len(domains) < 2 {
				return false
			}
		}
		return len(counts) == 6
	}, waitTimeout, 20*time.Millisecond)
	s.requireNoViolations()
}

// A model is replaced by a new version while an engine restarts. The old
// version has to serve until the new one is ready in two failure domains.
func TestOldVersionServesUntilTheNewOneIsReadyWhileAnEngineRestarts(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 6, 3, 1)
	s.startPlanner("vm1")
	s.awaitTwoDomains(6)
	next := *s.doc
	next.Models = append([]document.Model(nil), s.doc.Models...)
	next.Models[0].Version = "v2"
	s.setDocument(&next)
	s.servers[2].Inject(standin.ServerFaults{Restart: true})
	missing := 0
	require.Eventually(t, func() bool {
		ready := s.readyDomains()
		if len(ready["m0/@v1"])+len(ready["m0/@v2"]) == 0 {
			missing++
		}
		return len(ready["m0/@v2"]) == 2 && len(ready["m0/@v1"]) == 0 && len(ready["m0/m0-a0@v1"]) == 2
	}, waitTimeout, 5*time.Millisecond)
	require.Zero(t, missing)
	s.requireNoViolations()
}

// A flash crowd requests one model. Without demand reports that model would
// keep as many copies as every other model, and the crowd's requests would
// wait.
func TestDemandReportsAddCopies(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 6, 3, 1)
	p, _ := s.startPlanner("vm1")
	s.awaitTwoDomains(6)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	r := NewReporter(ReporterOptions{VM: "vm1", Environment: "trial", Store: s.store, Client: server.Client(), Interval: 50 * time.Millisecond})
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
	}, waitTimeout, 20*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

func TestDemandReportIsRefusedByAPlannerThatDoesNotLead(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 2, 1, 0)
	p, err := New(Options{Environment: "trial", VM: "vm1", Store: s.store, Config: s.snapshot.Load})
	require.NoError(t, err)
	w := httptest.NewRecorder()
	body, err := json.Marshal(demand.Report{VM: "vm1", WindowMS: 1000})
	require.NoError(t, err)
	p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/demand", bytes.NewReader(body)))
	require.Equal(t, http.StatusMisdirectedRequest, w.Code)
}
