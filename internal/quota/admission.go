package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Acquire requests to charge tokens to a team. A Verdict with the request's number
// follows immediately, or after other VMs were asked for loans.
func (m *Machine) Acquire(now clock.Reading, request uint64, team string, tokens int64) {
	a, known := m.teams[team]
	if !known {
		m.refuse(request, tokens, CauseUnknownTeam, 0)
		return
	}
	if tokens > a.limit.Burst {
		m.refuse(request, tokens, CauseTooLarge, 0)
		return
	}
	m.refresh(now, a)
	a.offered += tokens
	a.arrivals++
	amount := tokens * NanoPerToken
	if len(a.queue) == 0 && a.bucket.Take(now.Mono, amount) {
		m.admit(request, tokens)
		return
	}
	if len(a.queue) >= maxQueue {
		m.refuse(request, tokens, CauseOverRate, m.retryAfter(now, a, amount))
		return
	}
	a.queue = append(a.queue, queuedRequest{request: request, amount: amount, since: now.Mono, deadline: now.Mono + m.cfg.MaxWait})
	m.serveQueue(now, a)
}

// Settle corrects a charge by a difference in tokens. A positive difference is
// refunded to the team; a negative one becomes a debt, which this VM's accrual pays
// off first.
func (m *Machine) Settle(now clock.Reading, team string, difference int64) {
	a, known := m.teams[team]
	if !known {
		return
	}
	m.refresh(now, a)
	a.bucket.Adjust(now.Mono, difference*NanoPerToken)
	m.serveQueue(now, a)
}

// Cancel removes a queued request whose caller no longer waits. It returns false if
// the request is not queued, for example because its verdict was given already.
func (m *Machine) Cancel(request uint64) bool {
	for _, a := range m.teams {
		for i, w := range a.queue {
			if w.request == request {
				a.queue = append(a.queue[:i], a.queue[i+1:]...)
				return true
			}
		}
	}
	return false
}

func (m *Machine) admit(request uint64, tokens int64) {
	m.stats.AdmittedTokens += tokens
	m.emit(Verdict{Request: request, Admitted: true})
}

func (m *Machine) refuse(request uint64, tokens int64, cause Cause, retryAfter time.Duration) {
	m.stats.RefusedTokens += tokens
	m.stats.Refused[cause]++
	m.emit(Verdict{Request: request, Cause: cause, RetryAfter: retryAfter})
}

// refuseAll refuses every queued request of an account.
func (m *Machine) refuseAll(a *account, cause Cause) {
	for _, w := range a.queue {
		m.refuse(w.request, w.amount/NanoPerToken, cause, 0)
	}
	a.queue = nil
}

// serveQueue admits queued requests in order as far as the balance covers them,
// refuses those whose deadline has passed or for which no tokens can be expected, and
// asks other VMs for loans on behalf of the first one that remains.
func (m *Machine) serveQueue(now clock.Reading, a *account) {
	for len(a.queue) > 0 {
		head := a.queue[0]
		tokens := head.amount / NanoPerToken
		if a.bucket.Take(now.Mono, head.amount) {
			m.popHead(now, a)
			m.admit(head.request, tokens)
			continue
		}
		if now.Mono >= head.deadline {
			m.popHead(now, a)
			m.refuse(head.request, tokens, m.shortageCause(now, a, head.amount), m.retryAfter(now, a, head.amount))
			continue
		}
		if !m.seekTokens(now, a, head) {
			m.popHead(now, a)
			m.refuse(head.request, tokens, m.shortageCause(now, a, head.amount), m.retryAfter(now, a, head.amount))
			continue
		}
		return
	}
}

// popHead removes the first request from the queue and ends its collection.
func (m *Machine) popHead(now clock.Reading, a *account) {
	a.queue = a.queue[1:]
	if len(a.queue) == 0 {
		a.queue = nil
	}
	m.endCollection(now, a)
}

// retryAfter estimates how long the whole rate takes to accrue what is missing from
// an amount in nano-tokens. It returns at least MaxWait.
func (m *Machine) retryAfter(now clock.Reading, a *account, amount int64) time.Duration {
	missing := amount - max(a.bucket.Level(now.Mono), 0)
	if missing <= 0 || a.limit.Rate == 0 {
		return m.cfg.MaxWait
	}
	return max(time.Duration(missing/a.limit.Rate), m.cfg.MaxWait)
}

// shortageCause returns the cause for refusing an amount in nano-tokens:
// CauseNoAuthority if this VM has no units, CauseOverRate if the estimated balances of
// all VMs together do not cover the amount, else CausePartShort.
func (m *Machine) shortageCause(now clock.Reading, a *account, amount int64) Cause {
	if a.units() == 0 {
		return CauseNoAuthority
	}
	if a.bucket.Level(now.Mono)+m.estimateElsewhere(now, a) < amount {
		return CauseOverRate
	}
	return CausePartShort
}
