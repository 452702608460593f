package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// lending is a loan whose answer is on its way to the borrower.
type lending struct {
	borrower, n int
	asked       time.Time
}

// partsWalk lets VMs borrow from each other, with answers that are late, lost and
// out of order. The oracle adds up the parts.
func partsWalk(countFromAnswer bool) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		vms := rapid.IntRange(1, 5).Draw(t, "VMs")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		now := start
		all := make([]*Parts, vms)
		for i := range all {
			all[i] = NewParts()
			all[i].SetFleet(vms, i)
		}
		var under []lending
		one := rapid.IntRange(0, vms-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				total := 0
				for _, p := range all {
					total += p.Part(adapted, limit, now)
				}
				require.LessOrEqual(o, total, limit, "the parts are more than the whole")
			},
			"borrow": func(t *rapid.T) {
				borrower, lender := one.Draw(t, "borrower"), one.Draw(t, "lender")
				if borrower == lender {
					return
				}
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				inUse := rapid.IntRange(0, limit).Draw(t, "in use")
				n := all[lender].Lend(adapted, limit, inUse, rapid.IntRange(1, 9).Draw(t, "want"), now)
				under = append(under, lending{borrower, n, asked})
			},
			"answer": func(t *rapid.T) {
				if len(under) == 0 {
					t.Skip()
				}
				l := under[0]
				under = under[1:]
				if countFromAnswer {
					l.asked = now
				}
				all[l.borrower].Took(adapted, l.n, l.asked)
			},
			"lose": func(*rapid.T) { under = nil },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	}
}

// VMs lend parts of an adapter's limit to each other over a network that delays and
// loses answers. If the parts summed up to more than the limit, the adapter would
// slow down for everybody.
func TestPartsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { partsWalk(false)(t, t) })
}

func TestCountingFromTheAnswerIsFound(t *testing.T) {
	first := oracle.FirstSeed(300, partsWalk(true))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("countFromAnswer: found with seed %d", first)
}

// All of an adapter's callers are at one VM. It must come to use nearly the whole
// limit and not just its own part.
func TestOneVMCanUseNearlyAll(t *testing.T) {
	const vms, limit = 7, 60
	all := make([]*Parts, vms)
	for i := range all {
		all[i] = NewParts()
		all[i].SetFleet(vms, i)
	}
	for range 4 {
		for lender := 1; lender < vms; lender++ {
			all[0].Took(adapted, all[lender].Lend(adapted, limit, 0, limit, start), start)
		}
	}
	require.GreaterOrEqual(t, all[0].Part(adapted, limit, start), 54)
	require.Equal(t, 9, all[0].Part(adapted, limit, start.Add(LoanLife)))
}
