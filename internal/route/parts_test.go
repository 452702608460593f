package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// pendingLoan is a loan whose response is on its way to the borrower.
type pendingLoan struct {
	borrower, n int
	asked       time.Time
}

// borrowingWalk lets VMs borrow from each other, with responses that are late or lost.
// The oracle adds up the shares of all VMs. countFromAnswer is the injected fault: the
// borrower counts a loan's lifetime from the response instead of from its request.
func borrowingWalk(countFromAnswer bool) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		vms := rapid.IntRange(1, 5).Draw(t, "VMs")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		now := start
		shares := make([]*LimitShares, vms)
		for i := range shares {
			shares[i] = NewLimitShares()
			shares[i].SetFleet(vms, i)
		}
		var pending []pendingLoan
		anyRank := rapid.IntRange(0, vms-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				total := 0
				for _, p := range shares {
					total += p.Share(adapterItem, limit, now)
				}
				require.LessOrEqual(o, total, limit, "the VMs' shares add up to more than the limit")
			},
			"borrow": func(t *rapid.T) {
				borrower, lender := anyRank.Draw(t, "borrower"), anyRank.Draw(t, "lender")
				if borrower == lender {
					return
				}
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				inUse := rapid.IntRange(0, limit).Draw(t, "in use")
				n := shares[lender].Lend(adapterItem, limit, inUse, rapid.IntRange(1, 9).Draw(t, "want"), now)
				pending = append(pending, pendingLoan{borrower, n, asked})
			},
			"answer": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip()
				}
				l := pending[0]
				pending = pending[1:]
				if countFromAnswer {
					l.asked = now
				}
				shares[l.borrower].RecordLoan(adapterItem, l.n, l.asked)
			},
			"lose": func(*rapid.T) { pending = nil },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	}
}

// VMs lend shares of an adapter's limit to each other over a network that delays and
// loses responses. If the shares added up to more than the limit, the adapter would
// slow down for every caller.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { borrowingWalk(false)(t, t) })
}

func TestOracleDetectsLoanCountedFromResponse(t *testing.T) {
	first := oracle.FirstSeed(300, borrowingWalk(true))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("countFromAnswer: found with seed %d", first)
}

// All of an adapter's callers are at one VM. It must be able to borrow nearly the
// whole limit instead of being held to its own share.
func TestOneVMCanBorrowNearlyWholeLimit(t *testing.T) {
	const vms, limit = 7, 60
	shares := make([]*LimitShares, vms)
	for i := range shares {
		shares[i] = NewLimitShares()
		shares[i].SetFleet(vms, i)
	}
	for range 4 {
		for lender := 1; lender < vms; lender++ {
			shares[0].RecordLoan(adapterItem, shares[lender].Lend(adapterItem, limit, 0, limit, start), start)
		}
	}
	require.GreaterOrEqual(t, shares[0].Share(adapterItem, limit, start), 54)
	require.Equal(t, 9, shares[0].Share(adapterItem, limit, start.Add(LoanLifetime)))
}
