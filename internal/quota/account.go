package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Limit is what a team may use over all VMs together.
type Limit struct {
	// Team is the team's name.
	Team string
	// Rate is in tokens per second.
	Rate int64
	// Burst is in tokens, at most MaxTokens.
	Burst int64
}

// waiting is a request that the VM's own balance does not cover yet.
type waiting struct {
	request  uint64
	amount   int64
	since    time.Duration
	deadline time.Duration
}

// account is one team's state at one VM.
type account struct {
	limit    Limit
	bucket   *Bucket
	lent     lentLedger
	borrowed borrowedLedger
	lenders  map[string]*lenderView
	queue    []waiting
	collect  *collection
	// nextCollection is when the next one may start.
	nextCollection time.Duration
	// nextFind is when lenders may be looked for again.
	nextFind time.Duration
	// nextBalance is when balances may be evened out again.
	nextBalance time.Duration

	// ownUnits is what the VM's slots give now, zero without authority.
	ownUnits int64
	// demand is the smoothed demand in tokens per second, offered what came
	// since demandAt.
	demand   int64
	offered  int64
	demandAt time.Duration
	// frequency is the smoothed number of requests in frequencyScale seconds,
	// arrivals their number since demandAt.
	frequency int64
	arrivals  int64
	// surplusSince is when the VM last held no more units than it needs.
	surplusSince time.Duration
}

func newAccount(now clock.Reading, limit Limit) *account {
	return &account{
		limit:        limit,
		bucket:       NewBucket(now.Mono, 0, 0, 0),
		lent:         lentLedger{loans: make(map[LoanID]*lent)},
		borrowed:     borrowedLedger{asks: make(map[uint64]ask), loans: make(map[uint64]*borrowed)},
		lenders:      make(map[string]*lenderView),
		demandAt:     now.Mono,
		surplusSince: now.Mono,
	}
}

// units is the part of the team's rate and burst that the VM may use: its own
// and what it borrowed, less what it lent.
func (a *account) units() int64 {
	return max(a.ownUnits+a.borrowed.units-a.lent.units, 0)
}

// capOf returns the share of the burst, in nano-tokens, of a number of units.
func (a *account) capOf(units int64) int64 {
	return mulDiv(a.limit.Burst*NanoPerToken, units, Units)
}

// unitsFor returns the least number of units whose share of the burst holds an
// amount in nano-tokens.
func (a *account) unitsFor(amount int64) int64 {
	if amount <= 0 || a.limit.Burst == 0 {
		return 0
	}
	units := mulDiv(amount, Units, a.limit.Burst*NanoPerToken)
	for a.capOf(units) < amount && units < Units {
		units++
	}
	return units
}

// refresh brings the account up to the present: it lets go of what has ended,
// lets tokens accrue and fits the bucket to what is left. When something ended
// since the last call, nothing accrues for the time in between: a paused VM that
// wakes would otherwise count tokens for units that others had meanwhile.
func (a *account) refresh(now clock.Reading, ownUnits int64, margin time.Duration) {
	ended := a.borrowed.expire(now)
	ended = ended || ownUnits < a.ownUnits
	if ended {
		a.bucket.skip(now.Mono)
	}
	// Loans that come back start to accrue now and not before.
	a.bucket.advance(now.Mono)
	a.lent.expire(now, margin)
	a.ownUnits = ownUnits
	a.reshape(now)
}

func (a *account) reshape(now clock.Reading) {
	units := a.units()
	rate := mulDiv(a.limit.Rate*NanoPerToken, units, Units)
	a.bucket.Reshape(now.Mono, rate, a.capOf(units))
}

// needUnits is the part of the rate that the demand calls for, with headroom.
func (a *account) needUnits() int64 {
	if a.limit.Rate == 0 {
		return 0
	}
	need := mulDiv(a.demand*demandHeadroomPercent/100, Units, a.limit.Rate)
	return min(need, Units)
}

// measureDemand updates the smoothed demand. The memory spans several requests:
// with a shorter one, each request of a team that sends few of them would look
// like a demand far beyond the VM's part, and set off loans that nobody needs.
func (a *account) measureDemand(now time.Duration) {
	elapsed := now - a.demandAt
	if elapsed < demandInterval {
		return
	}
	a.frequency += smooth(a.arrivals*int64(time.Second)/int64(elapsed)*frequencyScale-a.frequency, elapsed, time.Second)
	memory := maxDemandMemory
	if a.frequency > 0 {
		memory = time.Duration(demandRequests * int64(time.Second) * frequencyScale / a.frequency)
	}
	memory = min(max(memory, minDemandMemory), maxDemandMemory)
	current := mulDiv(a.offered, int64(time.Second), int64(elapsed))
	a.demand += smooth(min(current, 4*a.limit.Rate)-a.demand, elapsed, memory)
	a.offered, a.arrivals = 0, 0
	a.demandAt = now
}

// aheadBalance is what is asked for beyond a shortage.
func (a *account) aheadBalance() int64 {
	ahead := mulDiv(a.demand*NanoPerToken, int64(aheadTime), int64(time.Second))
	if a.frequency == 0 {
		return ahead
	}
	meanSize := mulDiv(a.demand*NanoPerToken, frequencyScale, a.frequency)
	return max(ahead, aheadRequests*meanSize)
}

// smooth returns the part of a difference that an average with a memory takes
// over in a time.
func smooth(difference int64, elapsed, memory time.Duration) int64 {
	weight := int64(elapsed) * 1000 / int64(elapsed+memory)
	return difference * weight / 1000
}

// spareUnits is what the VM could lend without missing it.
func (a *account) spareUnits() int64 {
	return max(a.units()-a.needUnits(), 0)
}

// idleUnits is the part of the rate that the demand leaves over, without
// headroom. It is negative when the demand exceeds the VM's part.
func (a *account) idleUnits() int64 {
	if a.limit.Rate == 0 {
		return 0
	}
	return a.units() - mulDiv(a.demand, Units, a.limit.Rate)
}
