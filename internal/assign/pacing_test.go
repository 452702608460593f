package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

func newSimFleet(vms, engines, prefillChunk int) *simFleet {
	c := catalog.New(1, nil, nil)
	c.Services["engines"] = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{
		BatchSlots: 64, KVTokens: 150_000, TokensPerEvent: 6, Models: map[string]catalog.Model{"m": {Name: "m"}},
	}}
	f := &simFleet{engines: make(map[string]*simEngine), random: rand.New(rand.NewPCG(7, 1)), start: time.Now()}
	var all []upstream.Instance
	for i := range engines {
		id := fmt.Sprint("i-", i)
		all = append(all, upstream.Instance{ID: id, Service: "engines", Models: []upstream.LoadedModel{{Model: "m"}}})
		f.engines[id] = &simEngine{step: 5 * time.Millisecond, prefillPerToken: 26 * time.Microsecond, prefillChunk: prefillChunk, slots: 64, tokensPerEvent: 6}
	}
	for range vms {
		s := New()
		s.SetCatalog(c)
		s.SetInstances(all)
		s.SetFleet("self", otherVMs(vms), time.Now())
		f.vms = append(f.vms, s)
	}
	return f
}

// reportLoadsImmediately makes every VM report its loads to the others whenever it sends a
// request, besides the periodic reports.
func (f *simFleet) reportLoadsImmediately() {
	f.onSent = func(vm int, engine string) {
		loads := f.vms[vm].LoadsOf([]string{engine})
		for i, to := range f.vms {
			if i != vm {
				to.UpdatePeerLoads(string(rune('a'+vm)), loads, f.clock())
			}
		}
	}
}

// Eight VMs send short prompts to four engines that prefill whatever has arrived between
// two tokens. Whenever several prompts arrive at the same time, the streams stall, although
// the engines are busy only half of the time. When the VMs report their requests to each other
// immediately and pace prompts by prefill work, nearly all streams keep to the objective for
// the longest pause between events (maxGap), and hardly any request has to be refused for it.
func TestPacedPrefillKeepsStreamsFromStalling(t *testing.T) {
	periodic := newSimFleet(8, 4, 4096)
	periodic.countFrom = 4 * time.Second
	periodic.run(80, 20*time.Second)
	immediate := newSimFleet(8, 4, 4096)
	immediate.countFrom = 4 * time.Second
	immediate.reportLoadsImmediately()
	immediate.run(80, 20*time.Second)
	t.Logf("periodic reports only: %d of %d streams stalled, %d requests refused; immediate reports too: %d of %d stalled, %d refused",
		periodic.stalled, periodic.streams, periodic.refused, immediate.stalled, immediate.streams, immediate.refused)
	require.Less(t, immediate.stalled, immediate.streams/20)
	require.Less(t, immediate.refused, (immediate.streams+immediate.refused)*3/100)
	require.Greater(t, periodic.stalled, 3*immediate.stalled)
}

// The engines prefill prompts in chunks so small that no stream stalls. No prompt must be
// held back by pacing: answers would only start later.
func TestNoPacingWhereChunkedPrefillCausesNoStalls(t *testing.T) {
	f := newSimFleet(4, 4, 256)
	f.reportLoadsImmediately()
	f.run(60, 10*time.Second)
	for _, s := range f.vms {
		require.False(t, s.stallStats["engines"].pacing)
	}
	require.Zero(t, f.refused)
}

// One VM's totals of prefill work arrive out of order, and the VM restarts. No prefill work
// may be counted twice, and work after the restart must be counted.
func TestPeerPrefillIsCountedOnce(t *testing.T) {
	n, now := newNode(&upstream.Instance{ID: "i"}), time.Now()
	for _, total := range []time.Duration{5 * time.Second, 5200 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond} {
		n.recordPeerPrefill("a", total, now)
	}
	require.Equal(t, 300*time.Millisecond, n.prefillSince(now.Add(-time.Second)))
	n.recordPeerPrefill("a", 10*time.Millisecond, now)
	n.recordPeerPrefill("a", 30*time.Millisecond, now)
	require.Equal(t, 320*time.Millisecond, n.prefillSince(now.Add(-time.Second)))
}
