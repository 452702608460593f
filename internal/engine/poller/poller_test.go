package poller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// fakeSource returns fixed reports. For silent engines it blocks until the context ends.
type fakeSource struct {
	mu     sync.Mutex
	loads  map[string]engine.Load
	silent map[string]bool
}

// Load implements Source.
func (s *fakeSource) Load(ctx context.Context, baseURL string) (engine.Load, error) {
	s.mu.Lock()
	load, silent := s.loads[baseURL], s.silent[baseURL]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return engine.Load{}, ctx.Err()
	}
	return load, nil
}

func (s *fakeSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func newLoad(name, incarnation string, sequence int64, running int) engine.Load {
	item := engine.Item{Model: "m", Version: "v"}
	return engine.Load{
		Engine: name, Incarnation: incarnation, Sequence: sequence, Running: running,
		Resident: []engine.Resident{{Item: item, State: engine.ItemReady}, {Item: engine.Item{Model: "n"}, State: engine.ItemLoading}},
	}
}

// startPoller polls two engines.
func startPoller(t *testing.T, leaving func(string) bool) (*Poller, *fakeSource) {
	doc := &document.Document{Engines: []document.Engine{{Name: "a", URL: "http://10.0.0.1:80"}, {Name: "b", URL: "http://10.0.0.2:80"}}}
	config := configstate.NewSnapshot(1, "c", "d", doc, nil)
	s := &fakeSource{silent: make(map[string]bool), loads: map[string]engine.Load{
		"http://10.0.0.1:80": newLoad("a", "i1", 5, 3), "http://10.0.0.2:80": newLoad("b", "i1", 5, 3),
	}}
	p := New(Options{Source: s, Config: func() *configstate.Snapshot { return config }, Leaving: leaving})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return p, s
}

// One engine's connection goes silent. The reports of the others must continue, and the
// silent engine must count as unreachable after MaxAge, because new work would be lost
// there.
func TestSilentEngineDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, nil)
		time.Sleep(time.Second)
		require.True(t, p.Fleet().Engines[0].Reachable)
		s.set(func() {
			s.silent["http://10.0.0.1:80"] = true
			s.loads["http://10.0.0.2:80"] = newLoad("b", "i1", 6, 9)
		})
		time.Sleep(DefaultMaxAge + 2*DefaultInterval)
		require.False(t, p.Fleet().Engines[0].Reachable)
		require.True(t, p.Fleet().Engines[1].Reachable)
		require.Equal(t, 9, p.Fleet().Engines[1].Running)
	})
}

// A report that arrives out of order, or comes from another engine at a reused address,
// must not replace the stored one. The sequence of a restarted engine begins at 1 again.
func TestReportsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, nil)
		time.Sleep(time.Second)
		for _, c := range []struct {
			load    engine.Load
			running int
		}{
			{newLoad("a", "i1", 4, 7), 3},
			{newLoad("other", "i9", 99, 8), 3},
			{newLoad("a", "i2", 1, 1), 1},
		} {
			s.set(func() { s.loads["http://10.0.0.1:80"] = c.load })
			time.Sleep(time.Second)
			require.Equal(t, c.running, p.Fleet().Engines[0].Running)
		}
	})
}

// The VM list marks an engine as leaving before the engine reports it.
func TestVMListMarksEngineAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := startPoller(t, func(address string) bool { return address == "10.0.0.2:80" })
		time.Sleep(time.Second)
		require.False(t, p.Fleet().Engines[0].Leaving)
		require.True(t, p.Fleet().Engines[1].Leaving)
		require.True(t, p.Fleet().Engines[0].Serves(route.Item{Model: "m"}))
		require.False(t, p.Fleet().Engines[0].Serves(route.Item{Model: "n"}))
	})
}
