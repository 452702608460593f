package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Limit is a team's limit over all VMs together.
type Limit struct {
	// Team is the team's name.
	Team string
	// Rate is in tokens per second.
	Rate int64
	// Burst is in tokens, at most MaxTokens.
	Burst int64
}

// queuedRequest is a request that the VM's own balance does not cover yet.
type queuedRequest struct {
	request  uint64
	amount   int64
	since    time.Duration
	deadline time.Duration
}

// account is one team's state at one VM.
type account struct {
	limit      Limit
	bucket     *Bucket
	lent       lentLedger
	borrowed   borrowedLedger
	lenders    map[string]*lenderView
	queue      []queuedRequest
	collection *collection
	// nextCollection is the earliest start of the next collection.
	nextCollection time.Duration
	// nextDiscovery is the earliest time of the next search for lenders.
	nextDiscovery time.Duration
	// nextRebalance is the earliest time of the next request for balance ahead of
	// demand.
	nextRebalance time.Duration

	// ownUnits is the number of units of the VM's usable slots, zero without
	// authority.
	ownUnits int64
	// demand is the smoothed demand in tokens per second. offered is the number of
	// tokens requested since demandMeasuredAt.
	demand           int64
	offered          int64
	demandMeasuredAt time.Duration
	// frequency is the smoothed number of requests in frequencyScale seconds.
	// arrivals is the number of requests since demandMeasuredAt.
	frequency int64
	arrivals  int64
	// surplusSince is the last time at which there was no surplus to return.
	surplusSince time.Duration
}

func newAccount(now clock.Reading, limit Limit) *account {
	return &account{
		limit:            limit,
		bucket:           NewBucket(now.Mono, 0, 0, 0),
		lent:             lentLedger{loans: make(map[LoanID]*lent)},
		borrowed:         borrowedLedger{pendingAsks: make(map[uint64]pendingAsk), loans: make(map[uint64]*borrowed)},
		lenders:          make(map[string]*lenderView),
		demandMeasuredAt: now.Mono,
		surplusSince:     now.Mono,
	}
}

// units returns the share of the team's rate and burst that the VM may use: its own
// units plus the borrowed ones minus the lent ones.
func (a *account) units() int64 {
	return max(a.ownUnits+a.borrowed.units-a.lent.units, 0)
}

// burstShare returns the share of the burst, in nano-tokens, that belongs to a
// number of units.
func (a *account) burstShare(units int64) int64 {
	return mulDiv(a.limit.Burst*NanoPerToken, units, Units)
}

// unitsForAmount returns the smallest number of units whose share of the burst
// covers an amount in nano-tokens.
func (a *account) unitsForAmount(amount int64) int64 {
	if amount <= 0 || a.limit.Burst == 0 {
		return 0
	}
	units := mulDiv(amount, Units, a.limit.Burst*NanoPerToken)
	for a.burstShare(units) < amount && units < Units {
		units++
	}
	return units
}

// refresh updates the account to time now: it removes expired loans, accrues tokens
// and reshapes the bucket to the units that remain. If a borrowed loan expired or
// own units were lost since the last call, nothing accrues for the time in between.
// A VM that resumes after a pause would otherwise accrue tokens for units that other
// VMs used meanwhile.
func (a *account) refresh(now clock.Reading, ownUnits int64, margin time.Duration) {
	ended := a.borrowed.expire(now)
	ended = ended || ownUnits < a.ownUnits
	if ended {
		a.bucket.skipAccrual(now.Mono)
	}
	// The bucket advances before lent loans expire, because their units accrue at
	// this VM only from now on.
	a.bucket.advance(now.Mono)
	a.lent.expire(now, margin)
	a.ownUnits = ownUnits
	a.reshape(now)
}

func (a *account) reshape(now clock.Reading) {
	units := a.units()
	rate := mulDiv(a.limit.Rate*NanoPerToken, units, Units)
	a.bucket.Reshape(now.Mono, rate, a.burstShare(units))
}

// neededUnits returns the number of units whose share of the rate covers the demand
// with headroom.
func (a *account) neededUnits() int64 {
	if a.limit.Rate == 0 {
		return 0
	}
	need := mulDiv(a.demand*demandHeadroomPercent/100, Units, a.limit.Rate)
	return min(need, Units)
}

// measureDemand updates the smoothed demand. The time constant spans several
// requests. With a shorter one, each request of a team that sends few requests would
// look like a demand far beyond the VM's share and cause loans that nobody needs.
func (a *account) measureDemand(now time.Duration) {
	elapsed := now - a.demandMeasuredAt
	if elapsed < demandInterval {
		return
	}
	a.frequency += smooth(a.arrivals*int64(time.Second)/int64(elapsed)*frequencyScale-a.frequency, elapsed, time.Second)
	timeConstant := maxDemandTimeConstant
	if a.frequency > 0 {
		timeConstant = time.Duration(demandSpanRequests * int64(time.Second) * frequencyScale / a.frequency)
	}
	timeConstant = min(max(timeConstant, minDemandTimeConstant), maxDemandTimeConstant)
	current := mulDiv(a.offered, int64(time.Second), int64(elapsed))
	a.demand += smooth(min(current, 4*a.limit.Rate)-a.demand, elapsed, timeConstant)
	a.offered, a.arrivals = 0, 0
	a.demandMeasuredAt = now
}

// aheadBalance returns the balance, in nano-tokens, to borrow beyond a shortage.
func (a *account) aheadBalance() int64 {
	ahead := mulDiv(a.demand*NanoPerToken, int64(aheadTime), int64(time.Second))
	if a.frequency == 0 {
		return ahead
	}
	meanSize := mulDiv(a.demand*NanoPerToken, frequencyScale, a.frequency)
	return max(ahead, aheadRequests*meanSize)
}

// smooth returns the portion of a difference that an exponentially smoothed average
// with the given time constant adopts after the elapsed time.
func smooth(difference int64, elapsed, timeConstant time.Duration) int64 {
	weight := int64(elapsed) * 1000 / int64(elapsed+timeConstant)
	return difference * weight / 1000
}

// spareUnits returns the number of units beyond what the demand with headroom needs.
func (a *account) spareUnits() int64 {
	return max(a.units()-a.neededUnits(), 0)
}

// idleUnits returns the number of units that the demand leaves unused, without
// headroom. It is negative if the demand exceeds the VM's share of the rate.
func (a *account) idleUnits() int64 {
	if a.limit.Rate == 0 {
		return 0
	}
	return a.units() - mulDiv(a.demand, Units, a.limit.Rate)
}
