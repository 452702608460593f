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

func newModelFleet(vms, engines, piece int) *modelFleet {
	k := catalog.New(1, nil, nil)
	k.Services["engines"] = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{
		BatchSlots: 64, KVTokens: 150_000, TokensPerEvent: 6, Models: map[string]catalog.Model{"m": {Name: "m"}},
	}}
	f := &modelFleet{engines: make(map[string]*modelEngine), random: rand.New(rand.NewPCG(7, 1)), start: time.Now()}
	var all []upstream.Instance
	for i := range engines {
		id := fmt.Sprint("i-", i)
		all = append(all, upstream.Instance{ID: id, Service: "engines", Models: []upstream.Loaded{{Model: "m"}}})
		f.engines[id] = &modelEngine{step: 5 * time.Millisecond, read: 26 * time.Microsecond, piece: piece, slots: 64, event: 6}
	}
	for range vms {
		s := New()
		s.SetCatalog(k)
		s.SetInstances(all)
		s.SetVMs(vms)
		f.vms = append(f.vms, s)
	}
	return f
}

// tellAtOnce makes every VM tell the others of its sendings as they happen.
func (f *modelFleet) tellAtOnce() {
	f.told = func(vm int, engine string) {
		loads := f.vms[vm].LoadsOf([]string{engine})
		for i, to := range f.vms {
			if i != vm {
				to.HearSent(string(rune('a'+vm)), loads, f.clock())
			}
		}
	}
}

// Eight VMs send short prompts to four engines that read whatever has come between two
// tokens. Their callers see streams that stand still whenever several prompts come at once,
// though the engines are busy for half of the time only. Told of each other's sendings and
// sent by the pace of reading, nearly all streams keep their pace, and hardly a request has
// to be refused for it.
func TestStreamsKeepTheirPaceBesideOthersPrompts(t *testing.T) {
	alone := newModelFleet(8, 4, 4096)
	alone.counted = 4 * time.Second
	alone.play(80, 20*time.Second)
	together := newModelFleet(8, 4, 4096)
	together.counted = 4 * time.Second
	together.tellAtOnce()
	together.play(80, 20*time.Second)
	t.Logf("alone: %d of %d streams late, %d refused; together: %d of %d, %d",
		alone.late, alone.streams, alone.refused, together.late, together.streams, together.refused)
	require.Less(t, together.late, together.streams/20)
	require.Less(t, together.refused, (together.streams+together.refused)*3/100)
	require.Greater(t, alone.late, 3*together.late)
}

// Other engines read prompts in pieces so small that no stream stands still. There nothing is
// held back: it would only make answers start later.
func TestNothingIsHeldBackWhereReadingMakesNoPauses(t *testing.T) {
	f := newModelFleet(4, 4, 256)
	f.tellAtOnce()
	f.play(60, 10*time.Second)
	for _, s := range f.vms {
		require.False(t, s.pausing["engines"].paced)
	}
	require.Zero(t, f.refused)
}

// One VM's totals of reading overtake each other on the way, and the VM starts again. The
// engine must neither seem to have read anything twice, nor to have nothing to read from
// then on.
func TestReadingIsCountedOnce(t *testing.T) {
	n, now := newNode(upstream.Instance{ID: "i"}), time.Now()
	for _, total := range []time.Duration{5 * time.Second, 5200 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond} {
		n.hearReading("a", total, now)
	}
	require.Equal(t, 300*time.Millisecond, n.readSince(now.Add(-time.Second)))
	n.hearReading("a", 10*time.Millisecond, now)
	n.hearReading("a", 30*time.Millisecond, now)
	require.Equal(t, 320*time.Millisecond, n.readSince(now.Add(-time.Second)))
}
