package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
)

const (
	rate  = 10_000
	burst = 20_000
)

func calm(seed uint64, vms int) quotaloop.Options {
	return quotaloop.Options{
		VMs: vms, Domains: 4, Rate: rate, Burst: burst, Seed: seed,
		Network: quotaloop.NetworkFaults{Delay: 200 * time.Microsecond, Jitter: 200 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: time.Millisecond, Jitter: time.Millisecond},
	}
}

func TestWholeBurstAtAnyVM(t *testing.T) {
	w := quotaloop.New(calm(1, 7))
	require.NoError(t, w.Run(15*time.Second))
	for i := range 7 {
		require.True(t, w.Acquire(quotaloop.VM(i), burst))
		require.NoError(t, w.Run(w.Now+5*time.Second))
		require.Equal(t, int64(i+1), w.Verdicts[quota.CauseNone], "%v %+v", w.Verdicts, w.Stats(quotaloop.VM(i)))
	}
}
