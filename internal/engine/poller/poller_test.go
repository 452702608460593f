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

// source gives reports, and keeps those of silent engines waiting.
type source struct {
	mu     sync.Mutex
	loads  map[string]engine.Load
	silent map[string]bool
}

// Load implements Source.
func (s *source) Load(ctx context.Context, baseURL string) (engine.Load, error) {
	s.mu.Lock()
	load, silent := s.loads[baseURL], s.silent[baseURL]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return engine.Load{}, ctx.Err()
	}
	return load, nil
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func loadOf(name, incarnation string, sequence int64, running int) engine.Load {
	item := engine.Item{Model: "m", Version: "v"}
	return engine.Load{
		Engine: name, Incarnation: incarnation, Sequence: sequence, Running: running,
		Resident: []engine.Resident{{Item: item, State: engine.ItemReady}, {Item: engine.Item{Model: "n"}, State: engine.ItemLoading}},
	}
}

// start polls two engines.
func start(t *testing.T, leaving func(string) bool) (*Poller, *source) {
	doc := &document.Document{Engines: []document.Engine{{Name: "a", URL: "http://10.0.0.1:80"}, {Name: "b", URL: "http://10.0.0.2:80"}}}
	config := configstate.NewSnapshot(1, "c", "d", doc, nil)
	s := &source{silent: make(map[string]bool), loads: map[string]engine.Load{
		"http://10.0.0.1:80": loadOf("a", "i1", 5, 3), "http://10.0.0.2:80": loadOf("b", "i1", 5, 3),
	}}
	p := New(Options{Source: s, Config: func() *configstate.Snapshot { return config }, Leaving: leaving})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p, s
}

// One engine's connection goes silent. The others' reports must go on, and the silent
// one must soon count as unreachable, since new work would be lost there.
func TestSilentEngineDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := start(t, nil)
		time.Sleep(time.Second)
		require.True(t, p.Fleet().Engines[0].Reachable)
		s.set(func() {
			s.silent["http://10.0.0.1:80"] = true
			s.loads["http://10.0.0.2:80"] = loadOf("b", "i1", 6, 9)
		})
		time.Sleep(DefaultMaxAge + 2*DefaultInterval)
		require.False(t, p.Fleet().Engines[0].Reachable)
		require.True(t, p.Fleet().Engines[1].Reachable)
		require.Equal(t, 9, p.Fleet().Engines[1].Running)
	})
}

// A report that was overtaken, or another engine's at a reused address, must not
// replace what is known. A restarted engine counts from 1 again.
func TestReportsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := start(t, nil)
		time.Sleep(time.Second)
		for _, c := range []struct {
			load    engine.Load
			running int
		}{
			{loadOf("a", "i1", 4, 7), 3},
			{loadOf("other", "i9", 99, 8), 3},
			{loadOf("a", "i2", 1, 1), 1},
		} {
			s.set(func() { s.loads["http://10.0.0.1:80"] = c.load })
			time.Sleep(time.Second)
			require.Equal(t, c.running, p.Fleet().Engines[0].Running)
		}
	})
}

// The VM list knows of a leaving engine before the engine says so.
func TestListSaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := start(t, func(address string) bool { return address == "10.0.0.2:80" })
		time.Sleep(time.Second)
		require.False(t, p.Fleet().Engines[0].Leaving)
		require.True(t, p.Fleet().Engines[1].Leaving)
		require.True(t, p.Fleet().Engines[0].Serves(route.Item{Model: "m"}))
		require.False(t, p.Fleet().Engines[0].Serves(route.Item{Model: "n"}))
	})
}
