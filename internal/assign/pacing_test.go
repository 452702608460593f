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
		s.SetVMs(vms)
		f.vms = append(f.vms, s)
	}
	return f
}

// shareLoadsAtOnce makes every VM report its requests to the others as they are sent.
func (f *simFleet) shareLoadsAtOnce() {
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
// two tokens. Whenever several prompts arrive at once, the streams stall, although the
// engines are busy only half of the time. When the VMs report their requests to each other
// at once and pace prompts by prefill work, nearly all streams keep to the objective, and
// hardly any request has to be refused for it.
func TestPacedPrefillKeepsStreamsFromStalling(t *testing.T) {
	unshared := newSimFleet(8, 4, 4096)
	unshared.countFrom = 4 * time.Second
	unshared.run(80, 20*time.Second)
	shared := newSimFleet(8, 4, 4096)
	shared.countFrom = 4 * time.Second
	shared.shareLoadsAtOnce()
	shared.run(80, 20*time.Second)
	t.Logf("without shared loads: %d of %d streams stalled, %d refused; with shared loads: %d of %d, %d",
		unshared.stalled, unshared.streams, unshared.refused, shared.stalled, shared.streams, shared.refused)
	require.Less(t, shared.stalled, shared.streams/20)
	require.Less(t, shared.refused, (shared.streams+shared.refused)*3/100)
	require.Greater(t, unshared.stalled, 3*shared.stalled)
}

// Other engines prefill prompts in chunks so small that no stream stalls. Nothing must be
// held back there: it would only make answers start later.
func TestNoPacingWhereChunkedPrefillCausesNoStalls(t *testing.T) {
	f := newSimFleet(4, 4, 256)
	f.shareLoadsAtOnce()
	f.run(60, 10*time.Second)
	for _, s := range f.vms {
		require.False(t, s.stallStats["engines"].pacing)
	}
	require.Zero(t, f.refused)
}

// One VM's totals of prefill work arrive out of order, and the VM restarts. No prefill work
// may be counted twice, and work after the restart must be counted.
func TestPeerPrefillIsCountedOnce(t *testing.T) {
	n, now := newNode(upstream.Instance{ID: "i"}), time.Now()
	for _, total := range []time.Duration{5 * time.Second, 5200 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond} {
		n.recordPeerPrefill("a", total, now)
	}
	require.Equal(t, 300*time.Millisecond, n.prefillSince(now.Add(-time.Second)))
	n.recordPeerPrefill("a", 10*time.Millisecond, now)
	n.recordPeerPrefill("a", 30*time.Millisecond, now)
	require.Equal(t, 320*time.Millisecond, n.prefillSince(now.Add(-time.Second)))
}
