package planner

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// waitTimeout bounds a wait for something that must happen; nothing is asserted
// about how long it takes.
const waitTimeout = 30 * time.Second

// testFleet is a fleet of stand-in engines with a key-value service in memory.
type testFleet struct {
	t        *testing.T
	store    kv.Store
	doc      *document.Document
	servers  []*standin.Server
	standins []*standin.Engine
	weights  *standin.WeightStore
	// snapshot is the configuration in force.
	snapshot atomic.Pointer[configstate.Snapshot]
}

// setDocument puts a document in force as the next version.
func (s *testFleet) setDocument(doc *document.Document) {
	version := int64(1)
	if now := s.snapshot.Load(); now != nil {
		version = now.Version + 1
	}
	s.snapshot.Store(configstate.NewSnapshot(version, "change", "digest", doc, nil))
}

func newTestFleet(t *testing.T, engines, models, adapters int) *testFleet {
	s := &testFleet{t: t, store: kvtest.NewMemory(time.Now)}
	s.doc = &document.Document{
		Environment:    "trial",
		FailureDomains: []string{"a", "b"},
		WeightStore:    document.WeightStore{LoadsPerSecond: 100, ConcurrentLoads: 4},
	}
	s.weights = standin.NewWeightStore(standin.WeightStoreOptions{
		LoadsPerSecond: 100, ConcurrentLoads: 4, BytesPerSecond: 200 * document.GiB,
	})
	for i := range engines {
		s.addEngine(fmt.Sprintf("e%d", i), s.doc.FailureDomains[i%2])
	}
	for m := range models {
		model := document.Model{Name: fmt.Sprintf("m%d", m), Version: "v1", Memory: 10 * document.GiB}
		for a := range adapters {
			model.Adapters = append(model.Adapters, document.Adapter{
				Name: fmt.Sprintf("m%d-a%d", m, a), Version: "v1", Memory: 100 * document.MiB,
			})
		}
		s.doc.Models = append(s.doc.Models, model)
	}
	s.setDocument(s.doc)
	return s
}

func (s *testFleet) addEngine(name, domain string) {
	fencing := document.FencingIgnored
	if len(s.standins)%2 == 0 {
		fencing = document.FencingEnforced
	}
	e := standin.NewEngine(standin.EngineOptions{
		Name: name, Memory: 40 * document.GiB, KVCacheReserve: 8 * document.GiB, Weights: s.weights, Fencing: fencing,
	})
	server, err := standin.Start("127.0.0.1:0", e)
	require.NoError(s.t, err)
	s.t.Cleanup(server.Close)
	s.servers = append(s.servers, server)
	s.standins = append(s.standins, e)
	s.doc.Engines = append(s.doc.Engines, document.Engine{
		Name: name, URL: server.URL(), FailureDomain: domain, Memory: 40 * document.GiB,
		KVCacheReserve: 8 * document.GiB, Fencing: fencing,
	})
}

func (s *testFleet) startPlanner(vm string) (*Planner, func()) {
	p, err := New(Options{
		Environment: "trial", VM: vm, Store: s.store, LeaseTTL: 2 * time.Second, PlanInterval: 100 * time.Millisecond,
		Config: s.snapshot.Load,
	})
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(s.t, <-done)
		}
	}
	s.t.Cleanup(stop)
	return p, stop
}

// readyDomains returns the failure domains with a ready copy of each item, as
// the engines themselves report it.
func (s *testFleet) readyDomains() map[string]map[string]struct{} { return s.readyDomainsExcept() }

// readyDomainsExcept is like readyDomains without the engines with the given
// indexes.
func (s *testFleet) readyDomainsExcept(excluded ...int) map[string]map[string]struct{} {
	out := make(map[string]map[string]struct{})
	for i, e := range s.doc.Engines {
		if slices.Contains(excluded, i) {
			continue
		}
		load, err := (&engine.OrderClient{}).Report(s.t.Context(), e.URL)
		if err != nil {
			continue
		}
		for _, r := range load.Resident {
			if r.State != "ready" {
				continue
			}
			name := r.Model + "/" + r.Adapter + "@" + r.Version
			if out[name] == nil {
				out[name] = make(map[string]struct{})
			}
			out[name][s.doc.Engines[i].FailureDomain] = struct{}{}
		}
	}
	return out
}

func (s *testFleet) awaitTwoDomains(items int) {
	require.Eventually(s.t, func() bool {
		ready := s.readyDomains()
		for _, domains := range ready {
			if len(domains) < 2 {
				return false
			}
		}
		return len(ready) == items
	}, waitTimeout, 20*time.Millisecond)
}

func (s *testFleet) requireNoViolations() {
	for _, e := range s.standins {
		require.Empty(s.t, e.Records().(standin.EngineRecords).Overcommits)
	}
	records := s.weights.Records().(standin.WeightStoreRecords)
	require.Zero(s.t, records.ConcurrencyViolations)
	require.Zero(s.t, records.RateViolations)
}

func TestEveryItemBecomesReadyInTwoDomains(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 4, 4, 3)
	s.startPlanner("vm1")
	s.awaitTwoDomains(4 + 12)
	s.requireNoViolations()
}

// An operator stops the leading planner for an upgrade. If it kept its lease
// until the lease expired, nothing would be loaded during that time and
// requests for a new model would be refused.
func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 2, 1, 0)
	first, stop := s.startPlanner("vm1")
	require.Eventually(t, func() bool { _, err := first.Status(); return err == nil }, waitTimeout, 10*time.Millisecond)
	stop()
	_, err := s.store.Get(t.Context(), "/chestnut/trial/planner/leader")
	require.ErrorIs(t, err, kv.ErrNotFound)
	second, _ := s.startPlanner("vm2")
	require.Eventually(t, func() bool { _, err := second.Status(); return err == nil }, waitTimeout, 10*time.Millisecond)
	s.awaitTwoDomains(1)
	s.requireNoViolations()
}
